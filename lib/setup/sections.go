package setup

// A LogSection is the part of every settings file that says how to log.
type LogSection struct {
	Format string `json:"format"` // json or logfmt
	Level  string `json:"level"`
}

// A TraceSection is the part of every settings file that says where spans go.
type TraceSection struct {
	Output string  `json:"output"` // a path, stderr or off
	Ratio  float64 `json:"ratio"`
}

// Log checks the log section.
func (c *Checker) Log(section LogSection) LogSection {
	section.Format = c.OneOf("log.format", section.Format, "logfmt", "json")
	section.Level = c.OneOf("log.level", section.Level, "info", "debug", "warn", "error")
	return section
}

// Trace checks the trace section.
func (c *Checker) Trace(section TraceSection) TraceSection {
	if section.Ratio < 0 || section.Ratio > 1 {
		c.Fail("trace.ratio", "is out of range", "give a share from 0 to 1")
	}
	if section.Output == "" {
		section.Output = "off"
	}
	return section
}
