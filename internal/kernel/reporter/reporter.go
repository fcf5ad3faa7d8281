// Package reporter writes numbered log events. Every event that the program
// can log stands in the catalogue, so that operators can look a number up in
// docs/EVENTS.md and alert on it without matching texts.
package reporter

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Code is the number of an event. Hundreds tell the area: 1 kernel,
// 2 platform, 3 fleet, 4 request, 5 control, 6 agent, 7 operator, 8 stand-in, 9 job.
type Code int

// Definition is one line of the catalogue.
type Definition struct {
	Code    Code
	Level   log.Level
	Message string // constant text of the event
	Meaning string // what an operator should make of it, for docs/EVENTS.md
}

// Fields are the values that an event carries, named in kebab case.
type Fields map[string]any

// Config holds the settings of a Reporter.
type Config struct {
	Writer io.Writer
	Format string // "text" or "json"
	Level  string // "debug", "info", "warn" or "error"
	Role   string // entry, agent, demo, ...
	Name   string // name of the process, unique in the fleet
	Now    func() time.Time
}

// Reporter writes events of one process. It is safe for concurrent use.
type Reporter struct {
	entry *log.Entry
	now   func() time.Time
}

// New returns a Reporter, or an error that names the setting that is wrong.
func New(c Config) (*Reporter, error) {
	level, err := log.ParseLevel(c.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", c.Level)
	}
	var handler log.Handler
	switch c.Format {
	case "json":
		handler = json.New(c.Writer)
	case "text":
		handler = logfmt.New(&lineWriter{out: c.Writer})
	default:
		return nil, fmt.Errorf("log format %q: want text or json", c.Format)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	logger := &log.Logger{Handler: handler, Level: level}
	entry := logger.WithFields(log.Fields{"role": c.Role, "name": c.Name})
	return &Reporter{entry: entry, now: c.Now}, nil
}

// lineWriter hands whole lines on. The handler writes a line field by field, and what a
// writer drops or others write in between would then tear lines apart. The handler's lock
// is held over the fields of a line.
type lineWriter struct {
	out  io.Writer
	line []byte
}

func (w *lineWriter) Write(p []byte) (int, error) {
	w.line = append(w.line, p...)
	if len(p) == 0 || p[len(p)-1] != '\n' {
		return len(p), nil
	}
	_, err := w.out.Write(w.line)
	w.line = w.line[:0]
	return len(p), err
}

// Discard returns a Reporter that writes nothing, for tests and tools.
func Discard() *Reporter {
	logger := &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}
	return &Reporter{entry: log.NewEntry(logger), now: time.Now}
}

// Report writes the event with the given code. A code without a definition is
// written as an error, so that it shows in tests and is not lost in use.
func (r *Reporter) Report(code Code, fields Fields) {
	def, ok := definitions[code]
	if !ok {
		def = Definition{Code: code, Level: log.ErrorLevel, Message: "event without a definition"}
	}
	all := make(log.Fields, len(fields)+1) // at once: each WithField copies the fields before it
	for k, v := range fields {
		all[k] = v
	}
	all["event"] = int(code)
	e := r.entry.WithFields(all)
	switch def.Level {
	case log.DebugLevel:
		e.Debug(def.Message)
	case log.WarnLevel:
		e.Warn(def.Message)
	case log.ErrorLevel, log.FatalLevel:
		e.Error(def.Message)
	default:
		e.Info(def.Message)
	}
}

// Catalogue returns all definitions in the order of their codes.
func Catalogue() []Definition {
	all := make([]Definition, 0, len(definitions))
	for _, d := range definitions {
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Code < all[j].Code })
	return all
}

var definitions = index(
	kernelDefinitions, platformDefinitions, fleetDefinitions,
	requestDefinitions, controlDefinitions, agentDefinitions, agentRequestDefinitions,
	runnerDefinitions, operatorDefinitions, standinDefinitions, jobDefinitions,
)

func index(groups ...[]Definition) map[Code]Definition {
	m := make(map[Code]Definition)
	for _, g := range groups {
		for _, d := range g {
			if _, twice := m[d.Code]; twice {
				panic(fmt.Sprintf("event %d is defined twice", d.Code))
			}
			m[d.Code] = d
		}
	}
	return m
}
