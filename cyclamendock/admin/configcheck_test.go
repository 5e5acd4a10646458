package admin

import (
	"testing"

	"github.com/cyclamendock/cyclamendock/lib/audit"
	"github.com/cyclamendock/cyclamendock/lib/config"
)

const (
	firstPatch = `{"id":"first","base":0,"operations":[
 {"addKey":{"number":1,"secret":"AQEBAQEBAQEBAQEBAQEBAQ=="}},{"activateKey":1},
 {"setService":{"name":"termine","id":1,"address":"127.0.0.1:443","connections":2000,"slots":7,"kinds":[
  {"name":"board","class":"feed","method":"GET","pathPrefix":"/feed"},
  {"name":"read","class":"read","method":"GET","pathPrefix":"/","queueLimit":50,"share":50,"timeout":"5s","typical":"20ms"}]}}]}`
	secondPatch = `{"id":"second","base":1,"operations":[{"removeService":"termine"},{"removeKey":2},{"undrain":"a"}]}`
)

// Guards against a file that panics the check, and against a patch without errors that is refused when it is sent.
func FuzzAuditConfig(f *testing.F) {
	patch, err := config.DecodePatch([]byte(firstPatch))
	if err != nil {
		f.Fatal(err)
	}
	inForce, err := config.Apply(config.Config{}, patch)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{firstPatch, secondPatch, string(config.EncodeConfig(inForce)), `{"operations":[{}]}`, `{"keys":[{}],"services":[{}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		_ = auditConfig(content, nil)
		if audit.Errors(auditConfig(content, &inForce)) > 0 {
			return
		}
		sent, err := config.DecodePatch(content)
		if err != nil || len(sent.Operations) == 0 {
			return // a configuration, which is not sent as a whole
		}
		if _, err := config.Apply(inForce, sent); err != nil {
			t.Fatalf("no error is found, but the patch is refused: %v", err)
		}
	})
}
