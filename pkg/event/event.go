// Package event defines the numbered log events and writes them through zerolog.
// docs/EVENTS.md documents them; make check fails when it lacks an event.
package event

import (
	"io"

	"github.com/rs/zerolog"
)

// ID is the number of a log event.
type ID int

// definition holds the name and the log level of an event.
type definition struct {
	name  string
	level zerolog.Level
}

// Logger writes numbered events. It limits the rate of lines of each event.
type Logger struct {
	z      zerolog.Logger
	limits map[ID]*lineLimit // not changed after New
}

// timeFormat includes milliseconds, because several decisions about a request fall
// within one second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog reads the time format from a package variable.
func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a Logger that writes JSON lines to w, each naming the VM.
func New(w io.Writer, vm string, level zerolog.Level) *Logger {
	return &Logger{
		z:      zerolog.New(w).Level(level).With().Timestamp().Str("vm", vm).Logger(),
		limits: newLimits(),
	}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return &Logger{z: zerolog.Nop()} }

// Log starts the line of an event. The caller adds fields and writes the line with
// Send. When the line exceeds the event's rate or is below the logger's level, the
// result is nil, on which adding fields and Send have no effect.
func (l *Logger) Log(id ID) *zerolog.Event {
	d := definitions[id]
	if d.level < l.z.GetLevel() || !l.limits[id].allow() {
		return nil
	}
	return l.z.WithLevel(d.level).Int("event", int(id)).Str("name", d.name)
}

// LogSuppressed writes, for each event with suppressed lines, how many there were since
// the last call. The process calls it periodically and before it ends.
func (l *Logger) LogSuppressed() {
	for id, limit := range l.limits {
		lines := limit.suppressed.Swap(0)
		if lines == 0 {
			continue
		}
		l.z.WithLevel(definitions[LinesSuppressed].level).Int("event", int(LinesSuppressed)).Str("name", LinesSuppressed.Name()).
			Int("of", int(id)).Str("of_name", id.Name()).Uint64("lines", lines).Send()
	}
}

// Name returns the event's name in the log and in docs/EVENTS.md.
func (id ID) Name() string { return definitions[id].name }

// All returns every defined event with its name.
func All() map[ID]string {
	all := make(map[ID]string, len(definitions))
	for id, d := range definitions {
		all[id] = d.name
	}
	return all
}
