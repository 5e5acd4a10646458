package admin

import (
	"math"
	"slices"

	"github.com/cyclamendock/cyclamendock/lib/audit"
	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/setup"
)

const (
	// inForcePlace begins the places of services that a patch leaves as they are.
	inForcePlace = "inForce"
	maxKeyNumber = math.MaxUint8
)

// ConfigCheckCommand checks a patch or a configuration without sending it.
type ConfigCheckCommand struct {
	File    string `arg:"" help:"Path of the patch, or of a configuration as printed by config show." type:"path"`
	Offline bool   `help:"Do not compare with the version in force."`
}

// Run prints the findings and returns an Invalid fault when there are errors among them, or an Unavailable fault when the
// platform doesn't answer; the findings of the file alone are printed then.
func (c *ConfigCheckCommand) Run(s *Session) error {
	content, err := setup.ReadFile(c.File, audit.MaxSize+1)
	if err != nil {
		return err
	}
	var current *config.Config
	var platformErr error
	if !c.Offline {
		var inForce config.Config
		if _, inForce, platformErr = s.readHead(); platformErr == nil {
			current = &inForce
		}
	}
	findings := auditConfig(content, current)
	write := audit.WriteText
	if s.Root.JSON {
		write = audit.WriteJSON
	}
	if err := write(s.Out, findings); err != nil {
		return err
	}
	if platformErr != nil {
		return platformErr
	}
	return audit.Rejected(c.File, findings)
}

// auditConfig returns the findings of a patch or a configuration. What the product's decoders refuse beyond them is an error too.
func auditConfig(content []byte, current *config.Config) []audit.Finding {
	reader := audit.NewReader(audit.SeverityError)
	file, ok := readConfigFile(reader, content)
	if !ok {
		return audit.Merge(reader.Findings(), nil)
	}
	var inForce *audit.Config
	if current != nil {
		decoded, _ := readConfigFile(audit.NewReader(audit.SeverityNote), config.EncodeRedactedConfig(*current))
		inForce = &decoded.Config
	}
	file.apply(reader, inForce)
	findings := audit.Merge(reader.Findings(), audit.Check(file.Config, inForce, file.schema))
	if audit.Errors(findings) > 0 {
		return findings
	}
	if err := decodeAgain(content, file, current); err != nil {
		return audit.Merge(append(findings, audit.Refused(err)), nil)
	}
	return findings
}

// decodeAgain returns the error with which the product would refuse a patch. A configuration is never sent as a whole, and may lack
// its secrets.
func decodeAgain(content []byte, file configFile, current *config.Config) error {
	if file.operations == nil {
		return nil
	}
	patch, err := config.DecodePatch(content)
	if err != nil || current == nil {
		return err
	}
	_, err = config.Apply(*current, patch)
	return err
}

// apply replaces the services by those that result from a patch. Without a version in force, they are those that the patch sets.
func (f *configFile) apply(reader *audit.Reader, inForce *audit.Config) {
	if f.operations == nil {
		return
	}
	if inForce != nil {
		f.Fields = inForce.Fields
		for _, service := range inForce.Services {
			service.Place = audit.At(inForcePlace, service.Place)
			f.Services = append(f.Services, service)
		}
		for _, kind := range inForce.Routes {
			kind.Place = audit.At(inForcePlace, kind.Place)
			f.Routes = append(f.Routes, kind)
		}
	}
	for _, o := range f.operations {
		switch {
		case o.service != nil:
			f.removeService(o.service.Name)
			f.Services = append(f.Services, *o.service)
			f.Routes = append(f.Routes, o.kinds...)
		case o.removeService != "" && !f.removeService(o.removeService) && inForce != nil:
			reader.Add(audit.At(o.place, "removeService"), "the service does not exist", "see `config show` for the services")
		}
	}
}

// removeService removes a service with its kinds and reports whether it existed.
func (f *configFile) removeService(name string) bool {
	count := len(f.Services)
	f.Services = slices.DeleteFunc(f.Services, func(service audit.Service) bool { return service.Name == name })
	f.Routes = slices.DeleteFunc(f.Routes, func(kind audit.Route) bool { return kind.Owner == name })
	return len(f.Services) < count
}
