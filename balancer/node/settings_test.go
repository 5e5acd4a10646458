package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const validSettings = `{
  "address": "127.0.0.1:7001",
  "availabilityZone": "weilheim",
  "frontAddress": "127.0.0.1:7002",
  "metricsAddress": "127.0.0.1:7003",
  "name": "balancer-1",
  "platformUrl": "http://127.0.0.1:7000",
  "region": "oberbayern",
  "trustedNetworks": ["192.0.2.0/24"],
  "fabricNetworks": ["198.51.100.0/24"]
}`

// loadFromText writes text to a settings file and loads it.
func loadFromText(t testing.TB, text string) error {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadSettings(path)
	return err
}

func TestValidSettingsAreAccepted(t *testing.T) {
	gomega.NewWithT(t).Expect(loadFromText(t, validSettings)).To(gomega.Succeed())
}

func TestInvalidSettingsAreRejectedWithFileKeyAndRemedy(t *testing.T) {
	cases := map[string]struct{ from, to, key string }{
		"bad address":  {`"127.0.0.1:7001"`, `"localhost"`, "address"},
		"bad mode":     {`"region"`, `"frontMode": "magic", "region"`, "frontMode"},
		"bad network":  {`"192.0.2.0/24"`, `"x"`, "trustedNetworks"},
		"missing zone": {`"weilheim"`, `""`, "availabilityZone"},
		"no fabric":    {`["198.51.100.0/24"]`, `[]`, "fabricNetworks"},
		"no networks":  {`["192.0.2.0/24"]`, `[]`, "trustedNetworks"},
		"unknown key":  {`"region"`, `"regoin": "x", "region"`, "regoin"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			err := loadFromText(t, strings.Replace(validSettings, c.from, c.to, 1))
			g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.Invalid))
			for _, part := range []string{"settings.json", "key " + c.key, ";"} {
				g.Expect(err.Error()).To(gomega.ContainSubstring(part))
			}
			g.Expect(err.Error()).NotTo(gomega.ContainSubstring("\n"))
		})
	}
}

func FuzzLoadSettings(f *testing.F) {
	f.Add(validSettings)
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		if err := loadFromText(t, text); err != nil && !fault.Is(err, fault.Invalid) {
			t.Fatalf("unexpected fault: %v", err)
		}
	})
}
