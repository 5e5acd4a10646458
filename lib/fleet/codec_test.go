package fleet

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/proto"
)

func testRecord(name string) AgedRecord {
	return AgedRecord{Record: Record{
		Address:     netip.MustParseAddrPort("10.1.0.7:7000"),
		Incarnation: 1,
		Name:        name,
		Role:        RoleBalancer,
		State:       StateAlive,
	}}
}

// Guards against one malformed record of a zone that hides the others from a process that starts, or is taken for a member.
func TestMalformedRecordLosesOnlyItself(t *testing.T) {
	g := gomega.NewWithT(t)
	noPort := testRecord("no-port")
	noPort.Record.Address = netip.MustParseAddrPort("10.1.0.7:0")
	nameless := testRecord("")
	first, last := testRecord("first"), testRecord("last")
	for _, odd := range [][]byte{
		EncodeRecords([]AgedRecord{noPort}),
		EncodeRecords([]AgedRecord{nameless}),
		proto.AppendBytes(nil, recordsItem, []byte("\xff\xff")),
		proto.AppendVarint(nil, recordsItem+1, 7),
	} {
		encoded := append(EncodeRecords([]AgedRecord{first}), append(odd, EncodeRecords([]AgedRecord{last})...)...)
		records, ok := DecodeRecords(encoded)
		g.Expect(ok).To(gomega.BeFalse(), "%x", odd)
		g.Expect(records).To(gomega.Equal([]AgedRecord{first, last}), "%x", odd)
	}
	records, ok := DecodeRecords(EncodeRecords([]AgedRecord{first, last}))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(records).To(gomega.HaveLen(2))
}
