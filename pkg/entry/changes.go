package entry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// behindPatience is how long newer settings may be known elsewhere before this VM
// counts as behind. A change is read within one poll of the log (250 ms).
const behindPatience = 2 * time.Second

// changeLog writes events for conditions that begin and end. It is used by the
// control goroutine.
type changeLog struct {
	server      *Server
	rehearsals  map[string]bool
	unreachable map[fleet.DataCentreID]bool
	// behindSince is when newer settings became known; zero while there are none.
	behindSince time.Time
	behind      bool
}

func newChangeLog(s *Server) *changeLog {
	return &changeLog{server: s, rehearsals: map[string]bool{}, unreachable: map[fleet.DataCentreID]bool{}}
}

// tick compares the conditions with those of the last tick.
func (l *changeLog) tick(now time.Time) {
	l.tickRehearsals()
	l.tickDataCentres()
	l.tickSettings(now)
}

func (l *changeLog) tickRehearsals() {
	active := map[string]bool{}
	for _, r := range l.server.injector.Active() {
		active[r.ID] = true
	}
	for id := range l.rehearsals {
		if !active[id] {
			l.server.log.Log(event.RehearsalEnded).Str("rehearsal", id).Send()
		}
	}
	l.rehearsals = active
}

func (l *changeLog) tickDataCentres() {
	for _, dc := range l.server.fleetView().members.DataCentres {
		lost := !dc.Reachable && dc.DataCentre != l.server.cfg.DomainID()
		if lost == l.unreachable[dc.DataCentre] {
			continue
		}
		l.unreachable[dc.DataCentre] = lost
		id := event.DataCentreBack
		if lost {
			id = event.DataCentreUnreachable
		}
		l.server.log.Log(id).Str("data_centre", string(dc.DataCentre)).Int64("age_ms", dc.Age.Milliseconds()).Send()
	}
}

func (l *changeLog) tickSettings(now time.Time) {
	view := l.server.settings.View()
	if view.Offset >= view.Highest {
		if l.behind {
			l.server.log.Log(event.SettingsCaughtUp).Uint64("applied", view.Offset).Send()
		}
		l.behind, l.behindSince = false, time.Time{}
		return
	}
	if l.behindSince.IsZero() {
		l.behindSince = now
	}
	if !l.behind && now.Sub(l.behindSince) >= behindPatience {
		l.behind = true
		l.server.log.Log(event.SettingsBehind).Uint64("applied", view.Offset).Uint64("highest", view.Highest).Send()
	}
}
