// Package event defines the numbered log events and writes them through
// zerolog. docs/EVENTS.md is the catalogue; make check fails when an event is
// missing there.
package event

import (
	"io"

	"github.com/rs/zerolog"
)

// ID is the number of a log event.
type ID int

// definition is one row of the catalogue.
type definition struct {
	name  string
	level zerolog.Level
}

// Logger writes numbered events. The lines of each event are bounded in rate.
type Logger struct {
	z      zerolog.Logger
	limits map[ID]*lineLimit // immutable
}

// timeFormat has milliseconds: decisions about a request follow each other within a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog takes the format of times from a variable of its own.
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

// Log starts the line of an event. The caller adds fields and ends it with Send. A
// line above the event's rate is nil, which takes fields and writes nothing.
func (l *Logger) Log(id ID) *zerolog.Event {
	d := definitions[id]
	if d.level < l.z.GetLevel() || !l.limits[id].allow() {
		return nil
	}
	return l.z.WithLevel(d.level).Int("event", int(id)).Str("name", d.name)
}

// Suppressed writes how many lines of each event were held back since the last call.
// The process calls it now and then, and before it ends.
func (l *Logger) Suppressed() {
	for id, limit := range l.limits {
		lines := limit.held.Swap(0)
		if lines == 0 {
			continue
		}
		l.z.WithLevel(definitions[LinesSuppressed].level).Int("event", int(LinesSuppressed)).Str("name", LinesSuppressed.Name()).
			Int("of", int(id)).Str("of_name", id.Name()).Uint64("lines", lines).Send()
	}
}

// Name returns the event's name as the catalogue spells it.
func (id ID) Name() string { return definitions[id].name }

// All returns every defined event with its name.
func All() map[ID]string {
	all := make(map[ID]string, len(definitions))
	for id, d := range definitions {
		all[id] = d.name
	}
	return all
}
