package audit

import (
	"math"
	"net/netip"
	"strconv"
	"time"
)

// Reader reads the fields of a configuration file and records what is wrong with them, by place.
type Reader struct {
	findings []Finding
	unknown  Severity
}

// Object is an object of a file.
type Object struct {
	Place string

	members map[string]*node
	names   []string // in the order of the file
	reader  *Reader
	used    map[string]bool
}

// NewReader returns a reader that gives unknown fields a severity: error for a format that refuses them, or note.
func NewReader(unknown Severity) *Reader { return &Reader{unknown: unknown} }

// Findings returns what was wrong with the files read so far.
func (r *Reader) Findings() []Finding { return r.findings }

// Add records an error at a place.
func (r *Reader) Add(place, text, remedy string) {
	r.findings = append(r.findings, Finding{Class: ClassInvalid, Place: place, Remedy: remedy, Severity: SeverityError, Text: text})
}

// Parse returns the object that a file consists of, or an empty one and false when the file is malformed as a whole.
func (r *Reader) Parse(content []byte) (*Object, bool) {
	root, findings := parse(content)
	r.findings = append(r.findings, findings...)
	if root == nil {
		return r.object(&node{kind: kindObject}, ""), false
	}
	return r.object(root, ""), root.kind == kindObject
}

// object returns a value as an object, or an empty one and a finding.
func (r *Reader) object(value *node, place string) *Object {
	o := &Object{Place: place, members: map[string]*node{}, reader: r, used: map[string]bool{}}
	if value.kind != kindObject {
		r.Add(place, "the value is "+value.kind.String()+", not an object", "give an object")
	}
	for _, m := range value.members {
		if _, exists := o.members[m.name]; !exists {
			o.names = append(o.names, m.name)
		}
		o.members[m.name] = m.value
	}
	return o
}

// At returns the place of a field.
func (o *Object) At(name string) string { return At(o.Place, name) }

// Has reports whether the object has a field other than null.
func (o *Object) Has(name string) bool {
	value, exists := o.members[name]
	return exists && value.kind != kindNull
}

// Ignore marks fields as known that need not be read.
func (o *Object) Ignore(names ...string) {
	for _, name := range names {
		o.used[name] = true
	}
}

// Values returns the fields that are compared with the version in force, except the given ones, as compact JSON. Those of inner
// lists and objects have names such as backends[1].weight.
func (o *Object) Values(except ...string) []Value {
	left := map[string]bool{}
	for _, name := range except {
		left[name] = true
	}
	var values []Value
	for _, name := range o.names {
		if !left[name] && o.Has(name) {
			values = o.members[name].appendValues(values, formatName(name))
		}
	}
	return values
}

// Finish records the fields that were not read.
func (o *Object) Finish() {
	for _, name := range o.names {
		if !o.used[name] {
			o.reader.findings = append(o.reader.findings, Finding{
				Class:    ClassInvalid,
				Place:    o.At(formatName(name)),
				Remedy:   "remove it or correct its spelling",
				Severity: o.reader.unknown,
				Text:     "the field is unknown",
			})
		}
	}
}

// get returns a field of the wanted kind, or nil when it is missing, null or, with a finding, of another kind.
func (o *Object) get(name string, wanted kind) *node {
	o.used[name] = true
	value := o.members[name]
	if value == nil || value.kind == kindNull {
		return nil
	}
	if value.kind != wanted {
		o.reader.Add(o.At(name), "the value is "+value.kind.String()+", not "+wanted.String(), "give "+wanted.String())
		return nil
	}
	return value
}

// Text returns a text, or "" when it is missing or, with a finding, when it is not a text.
func (o *Object) Text(name string) string {
	if value := o.get(name, kindText); value != nil {
		return value.text
	}
	return ""
}

// OneOf returns a text that must be one of the choices when it is given.
func (o *Object) OneOf(name string, choices ...string) string {
	text := o.Text(name)
	if text == "" {
		return ""
	}
	list := ""
	for i, choice := range choices {
		if text == choice {
			return text
		}
		if i > 0 {
			list += ", "
		}
		list += choice
	}
	o.reader.Add(o.At(name), "the value "+quote(text)+" is unknown", "use one of "+list)
	return text
}

// Bool reads a truth value for its findings.
func (o *Object) Bool(name string) { o.get(name, kindBool) }

// Number returns a number, or 0 with a finding when it can't be used.
func (o *Object) Number(name string) float64 {
	value := o.get(name, kindNumber)
	if value == nil {
		return 0
	}
	number, err := strconv.ParseFloat(value.text, 64)
	if err != nil {
		o.reader.Add(o.At(name), "the number "+quote(value.text)+" is out of range", "give a smaller one")
		return 0
	}
	return number
}

// Integer returns a whole number, or 0 with a finding when it is not one.
func (o *Object) Integer(name string) int64 {
	value := o.get(name, kindNumber)
	if value == nil {
		return 0
	}
	number, err := strconv.ParseInt(value.text, 10, 64)
	if err != nil {
		o.reader.Add(o.At(name), "the number "+quote(value.text)+" is not a whole number within 64 bits", "give a whole number")
		return 0
	}
	return number
}

// Version returns a whole number of at least zero, or 0 with a finding.
func (o *Object) Version(name string) uint64 {
	value := o.get(name, kindNumber)
	if value == nil {
		return 0
	}
	number, err := strconv.ParseUint(value.text, 10, 64)
	if err != nil {
		o.reader.Add(o.At(name), "the number "+quote(value.text)+" is no version", "give a whole number above zero")
		return 0
	}
	return number
}

// Units returns a whole number of units as a duration, or 0 with a finding.
func (o *Object) Units(name string, unit time.Duration) time.Duration {
	count := o.Integer(name)
	if count > math.MaxInt64/int64(unit) || count < math.MinInt64/int64(unit) {
		o.reader.Add(o.At(name), "the duration is out of range", "give a shorter one")
		return 0
	}
	return time.Duration(count) * unit
}

// Seconds returns a number of seconds as a duration, or 0 with a finding.
func (o *Object) Seconds(name string) time.Duration {
	seconds := o.Number(name)
	if math.Abs(seconds) > math.MaxInt64/float64(time.Second)/2 {
		o.reader.Add(o.At(name), "the duration is out of range", "give a shorter one")
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Duration returns a duration that is given as a text such as 200ms, or 0 with a finding.
func (o *Object) Duration(name string) time.Duration {
	text := o.Text(name)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		o.reader.Add(o.At(name), quote(text)+" is not a duration", "give one such as 200ms or 5s")
	}
	return duration
}

// Address returns an address with a port, or an invalid one when it is missing or, with a finding, when it is malformed.
func (o *Object) Address(name string) netip.AddrPort {
	text := o.Text(name)
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		o.reader.Add(o.At(name), quote(text)+" is not an address with a port", "give one such as 192.0.2.1:443")
	}
	return address
}

// Object returns an object, which is empty when it is missing or, with a finding, when it is not an object.
func (o *Object) Object(name string) *Object {
	value := o.get(name, kindObject)
	if value == nil {
		value = &node{kind: kindObject}
	}
	return o.reader.object(value, o.At(name))
}

// Objects returns the elements of a list of objects; elements of another kind are left out with a finding.
func (o *Object) Objects(name string) []*Object {
	value := o.get(name, kindList)
	if value == nil {
		return nil
	}
	var objects []*Object
	for i, item := range value.items {
		place := AtIndex(o.At(name), i)
		if item.kind != kindObject {
			o.reader.Add(place, "the value is "+item.kind.String()+", not an object", "give an object")
			continue
		}
		objects = append(objects, o.reader.object(item, place))
	}
	return objects
}

// Texts returns a list of texts; elements of another kind are left out with a finding.
func (o *Object) Texts(name string) []string {
	value := o.get(name, kindList)
	if value == nil {
		return nil
	}
	var texts []string
	for i, item := range value.items {
		if item.kind != kindText {
			o.reader.Add(AtIndex(o.At(name), i), "the value is "+item.kind.String()+", not a text", "give a text")
			continue
		}
		texts = append(texts, item.text)
	}
	return texts
}
