package audit

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

// readAll calls each accessor for the same field and returns the findings.
func readAll(content []byte) []Finding {
	reader := NewReader(SeverityError)
	object, _ := reader.Parse(content)
	object.Address("a")
	object.Bool("a")
	object.Duration("a")
	object.Integer("a")
	object.Number("a")
	object.Object("a").Finish()
	object.OneOf("a", "x", "y")
	object.Seconds("a")
	object.Texts("a")
	object.Units("a", time.Millisecond)
	object.Values("b")
	object.Version("a")
	for _, element := range object.Objects("a") {
		element.Integer("a")
		element.Finish()
	}
	object.Finish()
	return Merge(reader.Findings(), nil)
}

// Guards against a malformed file that ends the check without a place, and against one that is read without a bound.
func TestMalformedFilesAreFindings(t *testing.T) {
	cases := map[string]struct{ content, place, text string }{
		"cut":             {"{\n \"a\": [1,", "line 2, column 10", "the JSON is malformed: the text ends too early"},
		"empty":           {"", "line 1, column 1", "the JSON is malformed: the text ends too early"},
		"field twice":     {`{"a":{"b":1,"b":2}}`, "a.b", "the field is given twice"},
		"large file":      {strings.Repeat(" ", MaxSize+1), "", "the file is larger than 4194304 bytes"},
		"long list":       {`{"a":[` + strings.Repeat("1,", maxItems) + `1]}`, "a", "the list has more than 20000 elements"},
		"more text":       {`{} x`, "line 1, column 4", "there is more text after the JSON value"},
		"nested deeply":   {strings.Repeat(`{"a":[`, 20_000), "line 1, column 98", "lists and objects are nested more than 32 deep"},
		"no object":       {`[]`, "", "the value is a list, not an object"},
		"null":            {`null`, "", "the value is null, not an object"},
		"syntax":          {"{\n\"a\": x}", "line 2, column 6", "the JSON is malformed: invalid character 'x' looking for beginning of value"},
		"unreadable name": {"{\"a\\u0007\":1}", `"a\a"`, "the field is unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			reader := NewReader(SeverityError)
			object, _ := reader.Parse([]byte(c.content))
			if name != "field twice" {
				object.Finish()
			}
			findings := reader.Findings()
			g.Expect(findings).To(gomega.HaveLen(1))
			g.Expect(findings[0].Place).To(gomega.Equal(c.place))
			g.Expect(findings[0].Text).To(gomega.Equal(c.text))
			g.Expect(findings[0].Remedy).NotTo(gomega.BeEmpty())
			g.Expect(findings[0].Severity).To(gomega.Equal(SeverityError))
		})
	}
}

// Guards against a value of another type that is taken for zero without a finding.
func TestValuesOfAnotherTypeAreFindings(t *testing.T) {
	g := gomega.NewWithT(t)
	reader := NewReader(SeverityNote)
	object, ok := reader.Parse([]byte(`{"address":"x","bool":1,"duration":"5","float":1.5,"huge":1e400,"large":9223372036854775807,
		"list":[1,{"n":"x"}],"seconds":1e300,"text":7,"unknown":null,"version":-1}`))
	g.Expect(ok).To(gomega.BeTrue())
	object.Address("address")
	object.Bool("bool")
	object.Duration("duration")
	object.Integer("float")
	object.Number("huge")
	object.Units("large", time.Millisecond)
	for _, element := range object.Objects("list") {
		element.Integer("n")
	}
	object.Seconds("seconds")
	object.Text("text")
	object.Version("version")
	object.Finish()
	var places []string
	for _, finding := range Merge(reader.Findings(), nil) {
		places = append(places, string(finding.Severity)+" "+finding.Place)
	}
	g.Expect(places).To(gomega.Equal([]string{
		"error address", "error bool", "error duration", "error float", "error huge", "error large", "error list[0]", "error list[1].n",
		"error seconds", "error text", "error version", "note unknown",
	}))
}

// Guards against a value that differs from the version in force inside a list and is reported as a whole or not at all.
func TestValuesNameInnerFields(t *testing.T) {
	g := gomega.NewWithT(t)
	object, _ := NewReader(SeverityError).Parse([]byte(`{"left":1,"list":[{"n":"x"},2],"none":[],"null":null,"object":{"b c":true}}`))
	g.Expect(object.Values("left")).To(gomega.Equal([]Value{
		{"list[0].n", `"x"`}, {"list[1]", "2"}, {"none", "[]"}, {`object."b c"`, "true"},
	}))
}

// Guards against an order that changes from run to run, and against element 10 before element 9.
func TestOrderOfFindingsIsStable(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		ordered := []Finding{
			{Place: "", Severity: SeverityError}, {Place: "a[9].b", Severity: SeverityError}, {Place: "a[10]", Severity: SeverityError},
			{Place: "a[10].b", Severity: SeverityError}, {Place: "a", Severity: SeverityNote}, {Place: "b", Severity: SeverityNote, Text: "x"},
			{Place: "b", Severity: SeverityNote, Text: "y"},
		}
		gomega.NewWithT(t).Expect(Merge(rapid.Permutation(ordered).Draw(t, "findings"), nil)).To(gomega.Equal(ordered))
	})
}

// Guards against a report that grows without a bound, and against an error that is left out without being counted.
func TestFindingsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var read []Finding
	for i := range maxFindings + 5 {
		read = append(read, Finding{Place: AtIndex("a", i), Severity: SeverityError})
	}
	merged := Merge(read, []Finding{{Class: ClassInvalid, Place: "a[3]", Severity: SeverityError, Text: "consequence"}})
	g.Expect(merged).To(gomega.HaveLen(maxFindings + 1))
	g.Expect(merged[maxFindings].Text).To(gomega.Equal("5 more findings are left out"))
	g.Expect(merged[maxFindings].Severity).To(gomega.Equal(SeverityError))
}

// Guards against a file that sends control characters to the operator's terminal.
func TestTextsHaveNoControlCharacters(t *testing.T) {
	g := gomega.NewWithT(t)
	config := newRoutes()
	config.Routes[0].Name = "\x1b[2J\u009b"
	inForce := newRoutes()
	inForce.Routes[1].Fields[0].Text = "\"\u009b2J\x7f\n\""
	findings := append(Check(config, &inForce, routeSchema), Refused(errors.New("a\x1b[2J\nb")))
	g.Expect(len(findings)).To(gomega.BeNumerically(">", 3))
	for _, finding := range findings {
		g.Expect(finding.Text + finding.Place + finding.Remedy).NotTo(gomega.MatchRegexp(`[[:cntrl:]\x{80}-\x{9f}]`))
	}
}

// Guards against input that panics, and against output that isn't one line for each finding.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{``, `{}`, `{"a":1}`, `{"a":[{"a":"x"}]}`, `{"a":"1.2.3.4:5","b":{"":null}}`, `{"a":-1e999}`, `[[[[`, "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		findings := readAll(content)
		var out bytes.Buffer
		if err := WriteText(&out, findings); err != nil {
			t.Fatal(err)
		}
		if lines := strings.Count(out.String(), "\n"); lines != len(findings)+1 {
			t.Fatalf("%d findings take %d lines: %q", len(findings), lines, out.String())
		}
		if err := WriteJSON(&out, findings); err != nil {
			t.Fatal(err)
		}
	})
}
