package audit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a file.
const (
	// MaxSize is the maximum size of a file, in bytes.
	MaxSize = 4 << 20

	maxDepth = 32     // of nested lists and objects
	maxItems = 20_000 // of one list or object
)

// kind is the kind of a JSON value.
type kind int

const (
	kindNull kind = iota
	kindBool
	kindList
	kindNumber
	kindObject
	kindText
)

func (k kind) String() string {
	return [...]string{"null", "true or false", "a list", "a number", "an object", "a text"}[k]
}

// node is a JSON value.
type node struct {
	items   []*node // of a list
	kind    kind
	members []member // of an object
	text    string   // of a text, number or truth value
}

// member is a named value of an object.
type member struct {
	name  string
	value *node
}

// errRefused ends parsing after a finding has been added.
var errRefused = errors.New("refused")

// parser parses a JSON value with bounds and records what is wrong with it.
type parser struct {
	content  []byte
	decoder  *json.Decoder
	findings []Finding
}

// parse returns the only JSON value of a file, or nil and a finding.
func parse(content []byte) (*node, []Finding) {
	p := &parser{content: content}
	if len(content) > MaxSize {
		p.refuse("", fmt.Sprintf("the file is larger than %d bytes", MaxSize), "give a configuration")
		return nil, p.findings
	}
	p.decoder = json.NewDecoder(bytes.NewReader(content))
	p.decoder.UseNumber()
	root, err := p.parseValue("", 0)
	if err != nil {
		return nil, p.findings
	}
	if _, err := p.decoder.Token(); !errors.Is(err, io.EOF) {
		p.refuse(p.position(p.decoder.InputOffset()), "there is more text after the JSON value", "remove it")
		return nil, p.findings
	}
	return root, p.findings
}

func (p *parser) refuse(place, text, remedy string) error {
	p.findings = append(p.findings, Finding{Class: ClassInvalid, Place: place, Remedy: remedy, Severity: SeverityError, Text: text})
	return errRefused
}

// position returns the line and column behind the given number of bytes.
func (p *parser) position(offset int64) string {
	read := p.content[:min(int(offset), len(p.content))]
	line := bytes.Count(read, []byte{'\n'}) + 1
	column := len(read) - bytes.LastIndexByte(read, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

func (p *parser) nextToken() (json.Token, error) {
	token, err := p.decoder.Token()
	if err != nil {
		text, offset := strings.TrimPrefix(err.Error(), "json: "), p.decoder.InputOffset()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			text, offset = "the text ends too early", int64(len(p.content))
		}
		return nil, p.refuse(p.position(offset), "the JSON is malformed: "+text, "correct the text")
	}
	return token, nil
}

func (p *parser) parseValue(place string, depth int) (*node, error) {
	token, err := p.nextToken()
	if err != nil {
		return nil, err
	}
	switch value := token.(type) {
	case json.Delim:
		if depth == maxDepth {
			return nil, p.refuse(p.position(p.decoder.InputOffset()), fmt.Sprintf("lists and objects are nested more than %d deep", maxDepth), "remove the inner ones")
		}
		if value == '[' {
			return p.parseList(place, depth)
		}
		return p.parseObject(place, depth)
	case bool:
		return &node{kind: kindBool, text: fmt.Sprint(value)}, nil
	case json.Number:
		return &node{kind: kindNumber, text: value.String()}, nil
	case string:
		return &node{kind: kindText, text: value}, nil
	default:
		return &node{kind: kindNull}, nil
	}
}

func (p *parser) parseList(place string, depth int) (*node, error) {
	list := &node{kind: kindList}
	for p.decoder.More() {
		if len(list.items) == maxItems {
			return nil, p.refuse(place, fmt.Sprintf("the list has more than %d elements", maxItems), "give fewer")
		}
		item, err := p.parseValue(AtIndex(place, len(list.items)), depth+1)
		if err != nil {
			return nil, err
		}
		list.items = append(list.items, item)
	}
	_, err := p.nextToken()
	return list, err
}

func (p *parser) parseObject(place string, depth int) (*node, error) {
	object := &node{kind: kindObject}
	names := map[string]bool{}
	for p.decoder.More() {
		if len(object.members) == maxItems {
			return nil, p.refuse(place, fmt.Sprintf("the object has more than %d fields", maxItems), "give fewer")
		}
		token, err := p.nextToken()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		inner := At(place, formatName(name))
		value, err := p.parseValue(inner, depth+1)
		if err != nil {
			return nil, err
		}
		if names[name] {
			_ = p.refuse(inner, "the field is given twice", "remove one of the two")
		}
		names[name] = true
		object.members = append(object.members, member{name: name, value: value})
	}
	_, err := p.nextToken()
	return object, err
}

// formatName returns a field's name as it stands in a place: in quotes when it could be mistaken for something else.
func formatName(name string) string {
	for _, r := range name {
		if r != '_' && r != '-' && (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z') {
			return quote(name)
		}
	}
	if name == "" || len(name) > maxQuoted {
		return quote(name)
	}
	return name
}

// appendValues appends the value, or those of a list or object that is not empty.
func (n *node) appendValues(values []Value, name string) []Value {
	for i, item := range n.items {
		values = item.appendValues(values, AtIndex(name, i))
	}
	for _, m := range n.members {
		values = m.value.appendValues(values, At(name, formatName(m.name)))
	}
	if len(n.items)+len(n.members) > 0 {
		return values
	}
	return append(values, Value{Name: name, Text: n.String()})
}

// String returns the value as compact JSON, without the elements of a list or object.
func (n *node) String() string {
	switch n.kind {
	case kindNull:
		return "null"
	case kindText:
		encoded, _ := json.Marshal(n.text) // a text always has a JSON form
		return string(encoded)
	case kindList:
		return "[]"
	case kindObject:
		return "{}"
	default:
		return n.text
	}
}

// shorten returns the text of a value, cut after 80 bytes and without control characters.
func shorten(text string) string {
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return printable(text)
}

// printable returns a text with a question mark for each character that can't be printed, as it may come from any file.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}
