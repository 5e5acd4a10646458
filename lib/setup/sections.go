package setup

// LogSection is the section of a settings file that configures the log.
type LogSection struct {
	Format string `json:"format"` // json or logfmt
	Level  string `json:"level"`  // debug, info, warn or error
}

// TraceSection is the section of a settings file that configures the export of spans.
type TraceSection struct {
	Output string  `json:"output"` // a path, stderr or off
	Ratio  float64 `json:"ratio"`  // share of flows that are traced, from 0 to 1
}

// Log validates the log section and fills in its defaults.
func (c *Checker) Log(section LogSection) LogSection {
	section.Format = c.OneOf("log.format", section.Format, "logfmt", "json")
	section.Level = c.OneOf("log.level", section.Level, "info", "debug", "warn", "error")
	return section
}

// Trace validates the trace section and fills in its defaults.
func (c *Checker) Trace(section TraceSection) TraceSection {
	if section.Ratio < 0 || section.Ratio > 1 {
		c.Fail("trace.ratio", "is out of range", "give a share from 0 to 1")
	}
	if section.Output == "" {
		section.Output = "off"
	}
	return section
}
