package items

import (
	"encoding/json"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// Array returns the elements of a JSON array in order, or an Invalid fault. Elements are not checked; they may be nested at any
// depth. A null array has none.
func Array(raw []byte) ([]json.RawMessage, error) {
	s := scanner{rest: raw}
	if s.takeNull() {
		return nil, s.end()
	}
	var elements []json.RawMessage
	s.list('[', ']', func() { elements = append(elements, s.value()) })
	return elements, s.end()
}

// Object returns the values of a JSON object's fields by name, or an Invalid fault. Values are not checked; they may be nested at
// any depth. Of fields with the same name it returns the last one.
func Object(raw []byte) (map[string]json.RawMessage, error) {
	s := scanner{rest: raw}
	fields := map[string]json.RawMessage{}
	s.list('{', '}', func() {
		var name string
		if json.Unmarshal(s.value(), &name) != nil || !s.take(':') {
			s.failed = true
			return
		}
		fields[name] = s.value()
	})
	return fields, s.end()
}

// scanner consumes a JSON text without recursion and records whether it was malformed.
type scanner struct {
	failed bool
	rest   []byte
}

// list consumes a list between two brackets and calls item at each of its items, which must consume it.
func (s *scanner) list(opening, closing byte, item func()) {
	if !s.take(opening) {
		s.failed = true
		return
	}
	if s.take(closing) {
		return
	}
	for !s.failed {
		item()
		if s.take(closing) {
			return
		}
		s.failed = s.failed || !s.take(',')
	}
}

// take consumes a character, with the white space before it, and reports whether it came next.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if len(s.rest) == 0 || s.rest[0] != c {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

func (s *scanner) takeNull() bool {
	s.skipSpace()
	if len(s.rest) < len("null") || string(s.rest[:len("null")]) != "null" {
		return false
	}
	s.rest = s.rest[len("null"):]
	return true
}

// value consumes and returns the next value.
func (s *scanner) value() json.RawMessage {
	s.skipSpace()
	size := valueSize(s.rest)
	if size == 0 {
		s.failed = true
		return nil
	}
	value := s.rest[:size:size]
	s.rest = s.rest[size:]
	return json.RawMessage(value)
}

// end returns an Invalid fault when the text was malformed or anything but white space is left.
func (s *scanner) end() error {
	s.skipSpace()
	if s.failed || len(s.rest) > 0 {
		return fault.New(fault.Invalid, "the JSON text is malformed", "write a whole object or array")
	}
	return nil
}

func (s *scanner) skipSpace() {
	for len(s.rest) > 0 && isSpace(s.rest[0]) {
		s.rest = s.rest[1:]
	}
}

// valueSize returns the size of the value at the start of a text in bytes, or zero when there is no whole value.
func valueSize(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			size := stringSize(text[i:])
			if size == 0 {
				return 0
			}
			i += size - 1
			if depth == 0 {
				return i + 1
			}
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth == 0 {
				return i
			}
			depth--
			if depth == 0 {
				return i + 1
			}
		case depth == 0 && (c == ',' || c == ':' || isSpace(c)):
			return i
		}
	}
	if depth > 0 {
		return 0
	}
	return len(text)
}

// stringSize returns the size of the string at the start of a text in bytes, with its quotes, or zero when it does not end.
func stringSize(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }
