package items

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func TestElementsAndFieldsAreSplit(t *testing.T) {
	g := gomega.NewWithT(t)
	elements, err := Array([]byte(` [ 1, "a,]\"", {"b":[2,{}]} ,null,[ ] , true ] `))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(texts(elements)).To(gomega.Equal([]string{`1`, `"a,]\""`, `{"b":[2,{}]}`, `null`, `[ ]`, `true`}))
	for _, empty := range []string{`[]`, ` [ ] `, `null`} {
		elements, err = Array([]byte(empty))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(elements).To(gomega.BeEmpty())
	}
	fields, err := Object([]byte(` {"a" : 1, "b\n":{"c":"}"} , "a":[2] } `))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(fields).To(gomega.Equal(map[string]json.RawMessage{"a": json.RawMessage(`[2]`), "b\n": json.RawMessage(`{"c":"}"}`)}))
}

func TestMalformedListsAreInvalid(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{``, `[`, `[1`, `[1,`, `[1,]`, `[,1]`, `[1 2]`, `["a]`, `[{]`, `[1]]`, `[1] 2`, `{}`, `1`, `nul`} {
		_, err := Array([]byte(text))
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
	for _, text := range []string{``, `{`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{a:1}`, `{"a":1 "b":2}`, `{1:1}`, `[]`, `null`} {
		_, err := Object([]byte(text))
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
}

func TestValuesAreSplitAtAnyDepth(t *testing.T) {
	g := gomega.NewWithT(t)
	deep := strings.Repeat(`[{"a":`, 100_000) + `1` + strings.Repeat(`}]`, 100_000)
	elements, err := Array([]byte(`[1,` + deep + `,2]`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(texts(elements)).To(gomega.Equal([]string{`1`, deep, `2`}))
}

// FuzzSplitAgreesWithEncodingJSON checks that what encoding/json reads is split into the same values.
func FuzzSplitAgreesWithEncodingJSON(f *testing.F) {
	for _, seed := range []string{`[1,"a",{"b":[]}]`, `{"a":1,"b":{"c":"}"}}`, `[ ]`, `null`, `{"\u0061":[[]]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var wantElements []json.RawMessage
		elements, err := Array(text)
		if json.Unmarshal(text, &wantElements) == nil && (err != nil || !reflect.DeepEqual(texts(elements), texts(wantElements))) {
			t.Fatalf("%q: got %q (%v)", text, elements, err)
		}
		var wantFields map[string]json.RawMessage
		fields, err := Object(text)
		if json.Unmarshal(text, &wantFields) == nil && wantFields != nil && (err != nil || !reflect.DeepEqual(fields, wantFields)) {
			t.Fatalf("%q: got %q (%v)", text, fields, err)
		}
	})
}

func texts(values []json.RawMessage) []string {
	all := make([]string, len(values))
	for i, value := range values {
		all[i] = string(value)
	}
	return all
}
