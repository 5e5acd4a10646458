package logs

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Config configures a Logger.
type Config struct {
	Format string // json or logfmt
	Level  string // debug, info, warn or error
	Writer io.Writer
}

// Fields are the structured part of a log line.
type Fields map[string]any

// Logger writes the log lines of one part of a program.
type Logger struct {
	entry  log.Interface
	prefix string
}

// New returns a logger whose lines start with part, usually the name of the program; an unknown level means info.
func New(config Config, part string) *Logger {
	level, err := log.ParseLevel(config.Level)
	if err != nil {
		level = log.InfoLevel
	}
	var handler log.Handler = logfmt.New(config.Writer)
	if config.Format == "json" {
		handler = json.New(config.Writer)
	}
	return &Logger{entry: &log.Logger{Handler: handler, Level: level}, prefix: part + ": "}
}

// Part returns a logger for another part of the same program.
func (l *Logger) Part(part string) *Logger {
	return &Logger{entry: l.entry, prefix: part + ": "}
}

// With returns a logger whose lines also contain the given fields.
func (l *Logger) With(fields Fields) *Logger {
	return &Logger{entry: l.entry.WithFields(log.Fields(fields)), prefix: l.prefix}
}

// Debug logs details that help only to diagnose a problem.
func (l *Logger) Debug(text string, fields Fields) { l.with(fields).Debug(l.prefix + text) }

// Info logs expected events.
func (l *Logger) Info(text string, fields Fields) { l.with(fields).Info(l.prefix + text) }

// Warn logs problems that an operator should look at.
func (l *Logger) Warn(text string, fields Fields) { l.with(fields).Warn(l.prefix + text) }

// Error logs an error that an operator must look at.
func (l *Logger) Error(text string, err error, fields Fields) {
	l.with(fields).WithError(err).Error(l.prefix + text)
}

func (l *Logger) with(fields Fields) *log.Entry { return l.entry.WithFields(log.Fields(fields)) }
