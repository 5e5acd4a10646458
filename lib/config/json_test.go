package config

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

func TestPatchRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	want := firstPatch()
	want.Operations = append(want.Operations, Drain{Member: "a"}, Undrain{Member: "b"}, RemoveKey{Number: 3}, RemoveService{Name: "c"})
	got, err := DecodePatch(EncodePatch(want))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(want))
}

func TestUnknownFieldIsNamedInTheError(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := DecodePatch([]byte(`{"id":"a","base":0,"operatoins":[]}`))
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.Invalid))
	g.Expect(err.Error()).To(gomega.ContainSubstring("operatoins"))
}

func TestRedactedConfigHasNoSecrets(t *testing.T) {
	g := gomega.NewWithT(t)
	c, err := Apply(Config{}, firstPatch())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(EncodeConfig(c))).To(gomega.ContainSubstring("secret"))
	g.Expect(string(EncodeRedactedConfig(c))).NotTo(gomega.ContainSubstring("ecret"))
}

func TestConfigurationWithAShortKeyIsInvalid(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := DecodeConfig([]byte(`{"activeKey":1,"keys":[{"number":1,"secret":"YQ=="}],"version":1}`))
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.Invalid))
}

func FuzzDecodePatch(f *testing.F) {
	f.Add(EncodePatch(firstPatch()))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		patch, err := DecodePatch(b)
		if err != nil {
			return
		}
		if _, err := DecodePatch(EncodePatch(patch)); err != nil {
			t.Fatalf("a decoded patch can't be decoded again after encoding: %v", err)
		}
		_, _ = Apply(Config{}, patch)
	})
}
