package setup

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

var unknownKeyPattern = regexp.MustCompile(`unknown field "([^"]*)"`)

// Load decodes a settings file into target, or returns an Invalid fault that names the file, the key and a remedy.
func Load(path string, target any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "settings "+path+" can't be read", "give the path of a readable JSON file")
	}
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeFault(path, err)
	}
	return nil
}

func decodeFault(path string, err error) error {
	if match := unknownKeyPattern.FindStringSubmatch(err.Error()); match != nil {
		return KeyFault(path, match[1], "is unknown", "remove it or correct its spelling")
	}
	return fault.Wrap(err, fault.Invalid, "settings "+path+" are not valid JSON", "correct the position or key that the error names")
}

// KeyFault returns an Invalid fault about one key of a settings file.
func KeyFault(path, key, problem, remedy string) error {
	return fault.New(fault.Invalid, "settings "+path+": key "+key+" "+problem, remedy)
}

// Checker parses and validates the values of one settings file and keeps the first fault.
type Checker struct {
	err  error
	path string
}

// NewChecker returns a checker for the file at path.
func NewChecker(path string) *Checker { return &Checker{path: path} }

// Err returns the first fault, or nil.
func (c *Checker) Err() error { return c.err }

// Fail records a fault about a key, unless an earlier fault is recorded.
func (c *Checker) Fail(key, problem, remedy string) {
	if c.err == nil {
		c.err = KeyFault(c.path, key, problem, remedy)
	}
}

// Address parses an IPv4 address and port.
func (c *Checker) Address(key, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() {
		c.Fail(key, "is not an IPv4 address and port", "give one such as 192.0.2.1:7000")
	}
	return address
}

// Addresses parses a list of IPv4 addresses and ports.
func (c *Checker) Addresses(key string, texts []string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, text := range texts {
		addresses = append(addresses, c.Address(key, text))
	}
	return addresses
}

// Networks parses a list of networks.
func (c *Checker) Networks(key string, texts []string) []netip.Prefix {
	var prefixes []netip.Prefix
	for _, text := range texts {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			c.Fail(key, "is not a list of networks", "give networks such as 192.0.2.0/24")
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes
}

// RequiredNetworks parses a list of networks that must not be empty.
func (c *Checker) RequiredNetworks(key string, texts []string) []netip.Prefix {
	if len(texts) == 0 {
		c.Fail(key, "is empty", "name the networks from which messages may come, such as 192.0.2.0/24")
	}
	return c.Networks(key, texts)
}

// Duration parses a duration that must not be negative; an empty text means fallback.
func (c *Checker) Duration(key, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		c.Fail(key, "is not a duration", "give one such as 500ms or 10s")
	}
	return duration
}

// DurationFrom parses a duration that must not be shorter than a limit; an empty text means fallback.
func (c *Checker) DurationFrom(key, text string, limit, fallback time.Duration) time.Duration {
	duration := c.Duration(key, text, fallback)
	if duration < limit {
		c.Fail(key, "is shorter than "+limit.String(), "give one such as "+fallback.String())
	}
	return duration
}

// Required checks that a text is not blank.
func (c *Checker) Required(key, text string) string {
	if strings.TrimSpace(text) == "" {
		c.Fail(key, "is missing", "add it")
	}
	return text
}

// OneOf checks that a text is one of the choices; an empty text means the first choice.
func (c *Checker) OneOf(key, text string, choices ...string) string {
	if text == "" {
		return choices[0]
	}
	for _, choice := range choices {
		if text == choice {
			return text
		}
	}
	c.Fail(key, "has an unknown value", "use one of "+strings.Join(choices, ", "))
	return text
}
