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

// DecodePatch decodes a patch from JSON, or returns an Invalid fault that names the field.
func DecodePatch(b []byte) (Patch, error) {
	var decoded patchJSON
	if err := decodeStrict(b, &decoded, "the patch"); err != nil {
		return Patch{}, err
	}
	return patchFromJSON(decoded)
}

// EncodePatch returns the JSON form of a patch.
func EncodePatch(p Patch) []byte { return encode(patchToJSON(p)) }

// DecodeConfig decodes and validates a complete configuration from JSON, or returns an Invalid fault.
func DecodeConfig(b []byte) (Config, error) {
	var decoded configJSON
	if err := decodeStrict(b, &decoded, "the configuration"); err != nil {
		return Config{}, err
	}
	c, err := configFromJSON(decoded)
	if err != nil {
		return Config{}, err
	}
	return c, validate(c)
}

// EncodeConfig returns the JSON form of a configuration, including its secrets.
func EncodeConfig(c Config) []byte { return encode(configToJSON(c)) }

// EncodeRedactedConfig returns the JSON form of a configuration without its secrets.
func EncodeRedactedConfig(c Config) []byte {
	redacted := configToJSON(c)
	redacted.TicketSecret = nil
	for i := range redacted.Keys {
		redacted.Keys[i].Secret = nil
	}
	return encode(redacted)
}

// DecodeHead decodes a head from JSON, or returns an Invalid fault.
func DecodeHead(b []byte) (Head, error) {
	var decoded headJSON
	if err := decodeStrict(b, &decoded, "the configuration head"); err != nil {
		return Head{}, err
	}
	entries, err := entriesFromJSON(decoded.Entries)
	if err != nil {
		return Head{}, err
	}
	return Head{Entries: entries, Snapshot: decoded.Snapshot, Version: decoded.Version}, nil
}

// EncodeHead returns the JSON form of a head.
func EncodeHead(h Head) []byte {
	return encode(headJSON{Entries: entriesToJSON(h.Entries), Snapshot: h.Snapshot, Version: h.Version})
}

// DecodeEntries decodes accepted patches from JSON, or returns an Invalid fault.
func DecodeEntries(b []byte) ([]Entry, error) {
	var decoded []entryJSON
	if err := decodeStrict(b, &decoded, "the configuration entries"); err != nil {
		return nil, err
	}
	return entriesFromJSON(decoded)
}

// EncodeEntries returns the JSON form of accepted patches.
func EncodeEntries(entries []Entry) []byte { return encode(entriesToJSON(entries)) }

// decodeStrict decodes a single JSON value and rejects unknown fields; subject names the value in errors.
func decodeStrict(b []byte, target any, subject string) error {
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fault.Wrap(err, fault.Invalid, subject+" is malformed", "correct the field and try again")
	}
	if decoder.More() {
		return fault.New(fault.Invalid, subject+" is followed by more text", "remove the text after the JSON value")
	}
	return nil
}

func encode(value any) []byte {
	b, err := json.Marshal(value)
	if err != nil {
		panic("can't encode a configuration type as JSON: " + err.Error())
	}
	return b
}

func entriesFromJSON(rawEntries []entryJSON) ([]Entry, error) {
	var entries []Entry
	for _, rawEntry := range rawEntries {
		patch, err := patchFromJSON(rawEntry.Patch)
		if err != nil {
			return nil, err
		}
		entries = append(entries, Entry{Patch: patch, Version: rawEntry.Version})
	}
	return entries, nil
}

func entriesToJSON(entries []Entry) []entryJSON {
	encoded := make([]entryJSON, 0, len(entries))
	for _, entry := range entries {
		encoded = append(encoded, entryJSON{Patch: patchToJSON(entry.Patch), Version: entry.Version})
	}
	return encoded
}

func patchFromJSON(raw patchJSON) (Patch, error) {
	patch := Patch{Author: raw.Author, Base: raw.Base, ID: raw.ID, Note: raw.Note}
	for _, rawOperation := range raw.Operations {
		operation, err := operationFromJSON(rawOperation)
		if err != nil {
			return Patch{}, err
		}
		patch.Operations = append(patch.Operations, operation)
	}
	return patch, nil
}

func patchToJSON(patch Patch) patchJSON {
	encoded := patchJSON{Author: patch.Author, Base: patch.Base, ID: patch.ID, Note: patch.Note}
	for _, operation := range patch.Operations {
		encoded.Operations = append(encoded.Operations, operationToJSON(operation))
	}
	return encoded
}

func operationFromJSON(raw operationJSON) (Operation, error) {
	var operations []Operation
	if raw.ActivateKey != nil {
		operations = append(operations, ActivateKey{Number: *raw.ActivateKey})
	}
	if raw.AddKey != nil {
		operations = append(operations, AddKey{Key: Key(*raw.AddKey)})
	}
	if raw.Drain != "" {
		operations = append(operations, Drain{Member: raw.Drain})
	}
	if raw.RemoveKey != nil {
		operations = append(operations, RemoveKey{Number: *raw.RemoveKey})
	}
	if raw.RemoveService != "" {
		operations = append(operations, RemoveService{Name: raw.RemoveService})
	}
	if raw.SetService != nil {
		service, err := serviceFromJSON(*raw.SetService)
		if err != nil {
			return nil, err
		}
		operations = append(operations, SetService{Service: service})
	}
	if len(raw.SetTicketSecret) > 0 {
		operations = append(operations, SetTicketSecret{Secret: raw.SetTicketSecret})
	}
	if raw.Undrain != "" {
		operations = append(operations, Undrain{Member: raw.Undrain})
	}
	if len(operations) != 1 {
		return nil, fault.New(fault.Invalid, "an operation must have exactly one field", "use one operation for each change")
	}
	return operations[0], nil
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
		panic("the type of an operation has no JSON form")
	}
}

func configFromJSON(raw configJSON) (Config, error) {
	c := Config{ActiveKey: raw.ActiveKey, Drains: raw.Drains, TicketSecret: raw.TicketSecret, Version: raw.Version}
	for _, key := range raw.Keys {
		c.Keys = append(c.Keys, Key(key))
	}
	for _, rawService := range raw.Services {
		service, err := serviceFromJSON(rawService)
		if err != nil {
			return Config{}, err
		}
		c.Services = append(c.Services, service)
	}
	return c, nil
}

func configToJSON(config Config) configJSON {
	encoded := configJSON{
		ActiveKey:    config.ActiveKey,
		Drains:       config.Drains,
		TicketSecret: config.TicketSecret,
		Version:      config.Version,
	}
	for _, key := range config.Keys {
		encoded.Keys = append(encoded.Keys, keyJSON(key))
	}
	for _, service := range config.Services {
		encoded.Services = append(encoded.Services, serviceToJSON(service))
	}
	return encoded
}

func serviceFromJSON(raw serviceJSON) (Service, error) {
	address, err := netip.ParseAddrPort(raw.Address)
	if err != nil {
		return Service{}, fault.Wrap(err, fault.Invalid, "service "+raw.Name+" has an invalid address",
			"give an address and port such as 192.0.2.1:443")
	}
	service := Service{Address: address, ID: raw.ID, MaxConnections: raw.Connections, Name: raw.Name, Slots: raw.Slots}
	for _, rawKind := range raw.Kinds {
		kind, err := kindFromJSON(rawKind)
		if err != nil {
			return Service{}, err
		}
		service.Kinds = append(service.Kinds, kind)
	}
	return service, nil
}

func serviceToJSON(service Service) serviceJSON {
	encoded := serviceJSON{
		Address:     service.Address.String(),
		Connections: service.MaxConnections,
		ID:          service.ID,
		Name:        service.Name,
		Slots:       service.Slots,
	}
	for _, kind := range service.Kinds {
		encoded.Kinds = append(encoded.Kinds, kindToJSON(kind))
	}
	return encoded
}

func kindFromJSON(raw kindJSON) (Kind, error) {
	timeout, err := parseDuration(raw.Name, "timeout", raw.Timeout)
	if err != nil {
		return Kind{}, err
	}
	typical, err := parseDuration(raw.Name, "typical", raw.Typical)
	if err != nil {
		return Kind{}, err
	}
	return Kind{
		Class:           Class(raw.Class),
		Method:          raw.Method,
		Name:            raw.Name,
		PathPrefix:      raw.PathPrefix,
		QueueLimit:      raw.QueueLimit,
		Share:           raw.Share,
		Timeout:         timeout,
		TypicalDuration: typical,
		Urgency:         raw.Urgency,
	}, nil
}

func kindToJSON(kind Kind) kindJSON {
	encoded := kindJSON{
		Class:      string(kind.Class),
		Method:     kind.Method,
		Name:       kind.Name,
		PathPrefix: kind.PathPrefix,
		QueueLimit: kind.QueueLimit,
		Share:      kind.Share,
		Urgency:    kind.Urgency,
	}
	if kind.Timeout != 0 {
		encoded.Timeout = kind.Timeout.String()
	}
	if kind.TypicalDuration != 0 {
		encoded.Typical = kind.TypicalDuration.String()
	}
	return encoded
}

func parseDuration(kind, field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, fault.Wrap(err, fault.Invalid, "kind "+kind+" has an invalid "+field, "give a duration such as 200ms or 5s")
	}
	return duration, nil
}
