package admin

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cyclamendock/cyclamendock/standin/object"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cyclamendock": func() { os.Exit(Execute()) }})
}

// TestScripts runs each command end to end against a stand-in of the platform in the test process.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			platform := httptest.NewServer(object.NewPlatform().Handler())
			env.Defer(platform.Close)
			settings, err := json.Marshal(settingsJSON{Balancers: []string{"127.0.0.1:1"}, PlatformURL: platform.URL})
			if err != nil {
				return err
			}
			env.Setenv("PLATFORM", platform.URL)
			return os.WriteFile(env.WorkDir+"/cyclamendock.json", settings, 0o600)
		},
	})
}
