package admin

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/audit"
	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

// newConfigSchema returns the schema of a configuration, or of a patch when the version is called base.
func newConfigSchema(version string) audit.Schema {
	return audit.Schema{
		FirstMatchWins: true,
		Names: map[audit.Field]string{
			audit.FieldAddress:         "address",
			audit.FieldID:              "id",
			audit.FieldMaxConnections:  "connections",
			audit.FieldName:            "name",
			audit.FieldQueueLimit:      "queueLimit",
			audit.FieldReserved:        "share",
			audit.FieldSlots:           "slots",
			audit.FieldTimeout:         "timeout",
			audit.FieldTypicalDuration: "typical",
			audit.FieldVersion:         version,
		},
		RemovedServiceText: "its open flows are dropped",
		Route:              "kind",
		Routes:             "services",
		ServiceNeedsRoute:  true,
		Services:           "services",
		VersionIsBase:      true,
	}
}

// configFile is a configuration or a patch as read for its findings.
type configFile struct {
	audit.Config
	activeKey  int64
	keys       map[int64]bool
	operations []operation // of a patch
	schema     audit.Schema
}

// operation is one operation of a patch.
type operation struct {
	kinds         []audit.Route
	place         string
	removeService string
	service       *audit.Service
}

// readConfigFile reads a configuration, or a patch when the file has operations, and records what is wrong with it. It returns false
// when the file is malformed as a whole.
func readConfigFile(reader *audit.Reader, content []byte) (configFile, bool) {
	object, ok := reader.Parse(content)
	file := configFile{keys: map[int64]bool{}, schema: newConfigSchema("version")}
	if !ok {
		return file, false
	}
	if object.Has("operations") {
		file.schema = newConfigSchema("base")
		file.schema.Routes, file.schema.Services = "operations", "operations"
		file.readPatch(reader, object)
	} else {
		file.readConfig(reader, object)
	}
	object.Finish()
	return file, true
}

func (f *configFile) readConfig(reader *audit.Reader, object *audit.Object) {
	f.Version = object.Version("version")
	f.Fields = object.Values("keys", "services", "ticketSecret", "version")
	f.activeKey = object.Integer("activeKey")
	for i, member := range object.Texts("drains") {
		if member == "" {
			reader.Add(audit.AtIndex(object.At("drains"), i), "the name of the member is empty", "give the name of a backend server or balancer")
		}
	}
	readSecret(reader, object, "ticketSecret", ticket.SecretLength)
	for _, key := range object.Objects("keys") {
		f.addKey(reader, key, false)
	}
	if object.Has("activeKey") && !f.keys[f.activeKey] {
		reader.Add(object.At("activeKey"), fmt.Sprintf("the active key %d does not exist", f.activeKey), "add the key or activate another one")
	}
	for _, service := range object.Objects("services") {
		decoded, kinds := readService(reader, service)
		f.Services = append(f.Services, decoded)
		f.Routes = append(f.Routes, kinds...)
	}
}

// addKey reads a key; a configuration that was printed without secrets has keys without one.
func (f *configFile) addKey(reader *audit.Reader, object *audit.Object, secretNeeded bool) {
	number := readKeyNumber(reader, object, "number")
	if f.keys[number] {
		reader.Add(object.At("number"), fmt.Sprintf("key %d is given twice", number), "use a number that no other key has")
	}
	f.keys[number] = true
	if secretNeeded && !object.Has("secret") {
		reader.Add(object.At("secret"), "the secret is missing", "give a secret of 16 bytes in base64")
	}
	readSecret(reader, object, "secret", connid.SecretLength)
	object.Finish()
}

func readKeyNumber(reader *audit.Reader, object *audit.Object, name string) int64 {
	number := object.Integer(name)
	if number < 0 || number > maxKeyNumber {
		reader.Add(object.At(name), "the number of the key is out of range", "give a number from 0 to 255")
	}
	return number
}

func readSecret(reader *audit.Reader, object *audit.Object, name string, length int) {
	text := object.Text(name)
	if text == "" {
		return
	}
	secret, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(secret) != length {
		reader.Add(object.At(name), "the secret has the wrong size or is not base64", fmt.Sprintf("give %d bytes in base64", length))
	}
}

func readService(reader *audit.Reader, object *audit.Object) (audit.Service, []audit.Route) {
	service := audit.Service{
		Address:        object.Address("address"),
		Fields:         object.Values("kinds", "name"),
		ID:             object.Integer("id"),
		MaxConnections: object.Integer("connections"),
		Name:           object.Text("name"),
		Place:          object.Place,
		Slots:          object.Integer("slots"),
	}
	var kinds []audit.Route
	for _, kind := range object.Objects("kinds") {
		kinds = append(kinds, readKind(reader, kind, service))
	}
	object.Finish()
	return service, kinds
}

func readKind(reader *audit.Reader, object *audit.Object, service audit.Service) audit.Route {
	class := config.Class(object.OneOf("class", string(config.ClassFeed), string(config.ClassMutating), string(config.ClassRead)))
	kind := audit.Route{
		Address:         service.Address,
		Endless:         class == config.ClassFeed,
		Fields:          object.Values("name"),
		Method:          object.Text("method"),
		Name:            object.Text("name"),
		Owner:           service.Name,
		PathPrefix:      object.Text("pathPrefix"),
		Place:           object.Place,
		QueueLimit:      object.Integer("queueLimit"),
		Reserved:        object.Integer("share"),
		Timeout:         object.Duration("timeout"),
		TypicalDuration: object.Duration("typical"),
	}
	kind.Fields = normalizeValues(kind.Fields, map[string]time.Duration{"timeout": kind.Timeout, "typical": kind.TypicalDuration})
	object.Integer("urgency")
	for _, name := range []string{"class", "method", "pathPrefix"} {
		if object.Text(name) == "" {
			reader.Add(object.At(name), "the "+name+" is missing", "add it")
		}
	}
	object.Finish()
	return kind
}

// normalizeValues returns the values as config show prints them: without zeros, and durations in their shortest form.
func normalizeValues(values []audit.Value, durations map[string]time.Duration) []audit.Value {
	var normalized []audit.Value
	for _, value := range values {
		if duration, exists := durations[value.Name]; exists && duration != 0 {
			value.Text = strconv.Quote(duration.String())
		}
		if value.Text != "0" && value.Text != `""` && value.Text != "[]" {
			normalized = append(normalized, value)
		}
	}
	return normalized
}

func (f *configFile) readPatch(reader *audit.Reader, object *audit.Object) {
	f.Version = object.Version("base")
	object.Text("author")
	object.Text("note")
	if object.Text("id") == "" {
		reader.Add("id", "the patch has no ID", "give it an ID that no other patch has")
	}
	operations := object.Objects("operations")
	if len(operations) == 0 {
		reader.Add("operations", "the patch has no operations", "give it at least one")
	}
	for _, o := range operations {
		f.operations = append(f.operations, f.readOperation(reader, o))
	}
}

func (f *configFile) readOperation(reader *audit.Reader, object *audit.Object) operation {
	o := operation{place: object.Place, removeService: object.Text("removeService")}
	names := []string{"activateKey", "addKey", "drain", "removeKey", "removeService", "setService", "setTicketSecret", "undrain"}
	given := slices.DeleteFunc(names, func(name string) bool { return !object.Has(name) })
	if len(given) != 1 {
		reader.Add(object.Place, "the operation does not have exactly one field", "use one operation for each change")
	}
	for _, name := range []string{"drain", "undrain", "removeService"} {
		if object.Has(name) && object.Text(name) == "" {
			reader.Add(object.At(name), "the name is empty", "give a name")
		}
	}
	readKeyNumber(reader, object, "activateKey")
	readKeyNumber(reader, object, "removeKey")
	readSecret(reader, object, "setTicketSecret", ticket.SecretLength)
	if object.Has("addKey") {
		f.addKey(reader, object.Object("addKey"), true)
	}
	if object.Has("setService") {
		service, kinds := readService(reader, object.Object("setService"))
		o.service, o.kinds = &service, kinds
	}
	object.Finish()
	return o
}
