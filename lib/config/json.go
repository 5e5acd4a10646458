package config

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

type kindJSON struct {
	Class      string `json:"class"`
	Method     string `json:"method"`
	Name       string `json:"name"`
	PathPrefix string `json:"pathPrefix"`
	QueueLimit int    `json:"queueLimit,omitempty"`
	Share      int    `json:"share,omitempty"`
	Timeout    string `json:"timeout,omitempty"`
	Typical    string `json:"typical,omitempty"`
	Urgency    int    `json:"urgency,omitempty"`
}

type serviceJSON struct {
	Address     string     `json:"address"`
	Connections int        `json:"connections"`
	ID          uint16     `json:"id"`
	Kinds       []kindJSON `json:"kinds"`
	Name        string     `json:"name"`
	Slots       int        `json:"slots"`
}

type keyJSON struct {
	Number uint8  `json:"number"`
	Secret []byte `json:"secret,omitempty"`
}

type configJSON struct {
	ActiveKey    uint8         `json:"activeKey"`
	Drains       []string      `json:"drains,omitempty"`
	Keys         []keyJSON     `json:"keys,omitempty"`
	Services     []serviceJSON `json:"services,omitempty"`
	TicketSecret []byte        `json:"ticketSecret,omitempty"`
	Version      uint64        `json:"version"`
}

type operationJSON struct {
	ActivateKey     *uint8       `json:"activateKey,omitempty"`
	AddKey          *keyJSON     `json:"addKey,omitempty"`
	Drain           string       `json:"drain,omitempty"`
	RemoveKey       *uint8       `json:"removeKey,omitempty"`
	RemoveService   string       `json:"removeService,omitempty"`
	SetService      *serviceJSON `json:"setService,omitempty"`
	SetTicketSecret []byte       `json:"setTicketSecret,omitempty"`
	Undrain         string       `json:"undrain,omitempty"`
}

type patchJSON struct {
	Author     string          `json:"author,omitempty"`
	Base       uint64          `json:"base"`
	ID         string          `json:"id"`
	Note       string          `json:"note,omitempty"`
	Operations []operationJSON `json:"operations"`
}

type entryJSON struct {
	Patch   patchJSON `json:"patch"`
	Version uint64    `json:"version"`
}

type headJSON struct {
	Entries  []entryJSON `json:"entries"`
	Snapshot uint64      `json:"snapshot"`
	Version  uint64      `json:"version"`
}

// DecodePatch reads a patch, or returns an Invalid fault that names the field.
func DecodePatch(b []byte) (Patch, error) {
	var wire patchJSON
	if err := decodeStrict(b, &wire, "the patch"); err != nil {
		return Patch{}, err
	}
	return patchFromJSON(wire)
}

// EncodePatch returns the JSON form of a patch.
func EncodePatch(p Patch) []byte { return encode(patchToJSON(p)) }

// DecodeConfig reads a whole configuration, or returns an Invalid fault.
func DecodeConfig(b []byte) (Config, error) {
	var wire configJSON
	if err := decodeStrict(b, &wire, "the configuration"); err != nil {
		return Config{}, err
	}
	c, err := configFromJSON(wire)
	if err != nil {
		return Config{}, err
	}
	return c, validate(c)
}

// EncodeConfig returns the JSON form of a configuration, secrets included.
func EncodeConfig(c Config) []byte { return encode(configToJSON(c)) }

// EncodeRedacted returns the JSON form of a configuration without its secrets.
func EncodeRedacted(c Config) []byte {
	wire := configToJSON(c)
	wire.TicketSecret = nil
	for i := range wire.Keys {
		wire.Keys[i].Secret = nil
	}
	return encode(wire)
}

// DecodeHead reads the platform's head, or returns an Invalid fault.
func DecodeHead(b []byte) (Head, error) {
	var wire headJSON
	if err := decodeStrict(b, &wire, "the configuration head"); err != nil {
		return Head{}, err
	}
	entries, err := entriesFromJSON(wire.Entries)
	if err != nil {
		return Head{}, err
	}
	return Head{Entries: entries, Snapshot: wire.Snapshot, Version: wire.Version}, nil
}

// EncodeHead returns the JSON form of a head.
func EncodeHead(h Head) []byte {
	return encode(headJSON{Entries: entriesToJSON(h.Entries), Snapshot: h.Snapshot, Version: h.Version})
}

// DecodeEntries reads accepted patches, or returns an Invalid fault.
func DecodeEntries(b []byte) ([]Entry, error) {
	var wire []entryJSON
	if err := decodeStrict(b, &wire, "the configuration entries"); err != nil {
		return nil, err
	}
	return entriesFromJSON(wire)
}

// EncodeEntries returns the JSON form of accepted patches.
func EncodeEntries(entries []Entry) []byte { return encode(entriesToJSON(entries)) }

func decodeStrict(b []byte, target any, what string) error {
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fault.Wrap(err, fault.Invalid, what+" is malformed", "correct the field and try again")
	}
	if decoder.More() {
		return fault.New(fault.Invalid, what+" is followed by more text", "remove what follows the closing brace")
	}
	return nil
}

func encode(value any) []byte {
	b, err := json.Marshal(value)
	if err != nil {
		panic("a configuration type can't be encoded: " + err.Error())
	}
	return b
}

func entriesFromJSON(wire []entryJSON) ([]Entry, error) {
	var entries []Entry
	for _, w := range wire {
		patch, err := patchFromJSON(w.Patch)
		if err != nil {
			return nil, err
		}
		entries = append(entries, Entry{Patch: patch, Version: w.Version})
	}
	return entries, nil
}

func entriesToJSON(entries []Entry) []entryJSON {
	wire := make([]entryJSON, 0, len(entries))
	for _, entry := range entries {
		wire = append(wire, entryJSON{Patch: patchToJSON(entry.Patch), Version: entry.Version})
	}
	return wire
}

func patchFromJSON(wire patchJSON) (Patch, error) {
	patch := Patch{Author: wire.Author, Base: wire.Base, ID: wire.ID, Note: wire.Note}
	for _, w := range wire.Operations {
		operation, err := operationFromJSON(w)
		if err != nil {
			return Patch{}, err
		}
		patch.Operations = append(patch.Operations, operation)
	}
	return patch, nil
}

func patchToJSON(p Patch) patchJSON {
	wire := patchJSON{Author: p.Author, Base: p.Base, ID: p.ID, Note: p.Note}
	for _, operation := range p.Operations {
		wire.Operations = append(wire.Operations, operationToJSON(operation))
	}
	return wire
}

func operationFromJSON(w operationJSON) (Operation, error) {
	var found []Operation
	if w.ActivateKey != nil {
		found = append(found, ActivateKey{Number: *w.ActivateKey})
	}
	if w.AddKey != nil {
		found = append(found, AddKey{Key: Key(*w.AddKey)})
	}
	if w.Drain != "" {
		found = append(found, Drain{Member: w.Drain})
	}
	if w.RemoveKey != nil {
		found = append(found, RemoveKey{Number: *w.RemoveKey})
	}
	if w.RemoveService != "" {
		found = append(found, RemoveService{Name: w.RemoveService})
	}
	if w.SetService != nil {
		service, err := serviceFromJSON(*w.SetService)
		if err != nil {
			return nil, err
		}
		found = append(found, SetService{Service: service})
	}
	if len(w.SetTicketSecret) > 0 {
		found = append(found, SetTicketSecret{Secret: w.SetTicketSecret})
	}
	if w.Undrain != "" {
		found = append(found, Undrain{Member: w.Undrain})
	}
	if len(found) != 1 {
		return nil, fault.New(fault.Invalid, "an operation must say exactly one thing", "split it into several operations")
	}
	return found[0], nil
}

func operationToJSON(operation Operation) operationJSON {
	switch o := operation.(type) {
	case ActivateKey:
		return operationJSON{ActivateKey: &o.Number}
	case AddKey:
		key := keyJSON(o.Key)
		return operationJSON{AddKey: &key}
	case Drain:
		return operationJSON{Drain: o.Member}
	case RemoveKey:
		return operationJSON{RemoveKey: &o.Number}
	case RemoveService:
		return operationJSON{RemoveService: o.Name}
	case SetService:
		service := serviceToJSON(o.Service)
		return operationJSON{SetService: &service}
	case SetTicketSecret:
		return operationJSON{SetTicketSecret: o.Secret}
	case Undrain:
		return operationJSON{Undrain: o.Member}
	default:
		panic("an operation without a JSON form")
	}
}

func configFromJSON(wire configJSON) (Config, error) {
	c := Config{ActiveKey: wire.ActiveKey, Drains: wire.Drains, TicketSecret: wire.TicketSecret, Version: wire.Version}
	for _, key := range wire.Keys {
		c.Keys = append(c.Keys, Key(key))
	}
	for _, w := range wire.Services {
		service, err := serviceFromJSON(w)
		if err != nil {
			return Config{}, err
		}
		c.Services = append(c.Services, service)
	}
	return c, nil
}

func configToJSON(c Config) configJSON {
	wire := configJSON{ActiveKey: c.ActiveKey, Drains: c.Drains, TicketSecret: c.TicketSecret, Version: c.Version}
	for _, key := range c.Keys {
		wire.Keys = append(wire.Keys, keyJSON(key))
	}
	for _, service := range c.Services {
		wire.Services = append(wire.Services, serviceToJSON(service))
	}
	return wire
}

func serviceFromJSON(wire serviceJSON) (Service, error) {
	address, err := netip.ParseAddrPort(wire.Address)
	if err != nil {
		return Service{}, fault.Wrap(err, fault.Invalid, "service "+wire.Name+" has a bad address", "give an address and port such as 192.0.2.1:443")
	}
	service := Service{Address: address, Connections: wire.Connections, ID: wire.ID, Name: wire.Name, Slots: wire.Slots}
	for _, w := range wire.Kinds {
		kind, err := kindFromJSON(w)
		if err != nil {
			return Service{}, err
		}
		service.Kinds = append(service.Kinds, kind)
	}
	return service, nil
}

func serviceToJSON(s Service) serviceJSON {
	wire := serviceJSON{Address: s.Address.String(), Connections: s.Connections, ID: s.ID, Name: s.Name, Slots: s.Slots}
	for _, kind := range s.Kinds {
		wire.Kinds = append(wire.Kinds, kindToJSON(kind))
	}
	return wire
}

func kindFromJSON(wire kindJSON) (Kind, error) {
	timeout, err := parseDuration(wire.Name, "timeout", wire.Timeout)
	if err != nil {
		return Kind{}, err
	}
	typical, err := parseDuration(wire.Name, "typical", wire.Typical)
	if err != nil {
		return Kind{}, err
	}
	return Kind{
		Class:      Class(wire.Class),
		Method:     wire.Method,
		Name:       wire.Name,
		PathPrefix: wire.PathPrefix,
		QueueLimit: wire.QueueLimit,
		Share:      wire.Share,
		Timeout:    timeout,
		Typical:    typical,
		Urgency:    wire.Urgency,
	}, nil
}

func kindToJSON(k Kind) kindJSON {
	wire := kindJSON{
		Class:      string(k.Class),
		Method:     k.Method,
		Name:       k.Name,
		PathPrefix: k.PathPrefix,
		QueueLimit: k.QueueLimit,
		Share:      k.Share,
		Urgency:    k.Urgency,
	}
	if k.Timeout != 0 {
		wire.Timeout = k.Timeout.String()
	}
	if k.Typical != 0 {
		wire.Typical = k.Typical.String()
	}
	return wire
}

func parseDuration(kind, field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, fault.Wrap(err, fault.Invalid, "kind "+kind+" has a bad "+field, "give a duration such as 200ms or 5s")
	}
	return duration, nil
}
