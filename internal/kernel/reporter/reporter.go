// Package reporter writes numbered log events. Every event that the program
// can log is defined in the catalogue, so that operators can look up its number
// in docs/EVENTS.md and alert on it without matching message texts.
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

// Code is the number of an event. The number of its hundreds is the area: 1 kernel,
// 2 platform, 3 fleet, 4 request, 5 control, 6 agent, 7 operator, 8 stand-in, 9 job,
// 10 load control.
type Code int

// Definition is an entry of the catalogue.
type Definition struct {
	Code    Code
	Level   log.Level
	Message string // constant text of the event
	Meaning string // explanation for operators, for docs/EVENTS.md
}

// Fields are the values of an event; their keys are in kebab case.
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

// New returns a Reporter, or an error that names the invalid setting.
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

// lineWriter buffers the output of the handler and passes on whole lines. The handler writes
// a line field by field, so a writer that drops data or receives other writes in between
// would break lines up. The handler holds its lock for all fields of a line.
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
// logged as an error, so that tests detect it and the event is not lost in production.
func (r *Reporter) Report(code Code, fields Fields) {
	def, ok := definitions[code]
	if !ok {
		def = Definition{Code: code, Level: log.ErrorLevel, Message: "event without a definition"}
	}
	all := make(log.Fields, len(fields)+1) // set together: each WithField copies all previous fields
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

// Catalogue returns all definitions, sorted by code.
func Catalogue() []Definition {
	all := make([]Definition, 0, len(definitions))
	for _, d := range definitions {
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Code < all[j].Code })
	return all
}

var definitions = indexByCode(
	kernelDefinitions, platformDefinitions, fleetDefinitions,
	requestDefinitions, controlDefinitions, agentDefinitions, agentRequestDefinitions,
	runnerDefinitions, operatorDefinitions, standinDefinitions, jobDefinitions,
	estimateDefinitions, admissionDefinitions, shareDefinitions, forecastDefinitions,
)

func indexByCode(groups ...[]Definition) map[Code]Definition {
	m := make(map[Code]Definition)
	for _, g := range groups {
		for _, d := range g {
			if _, duplicate := m[d.Code]; duplicate {
				panic(fmt.Sprintf("event %d is defined twice", d.Code))
			}
			m[d.Code] = d
		}
	}
	return m
}
