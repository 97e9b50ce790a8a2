package entry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// maxSettingsLag is how long this VM may lack settings that other VMs know of before
// it is logged as behind. A change is normally read within one poll of the log (250 ms).
const maxSettingsLag = 2 * time.Second

// transitionLogger logs when a condition begins or ends: rehearsals, unreachable data
// centres and lagging settings. Only the control goroutine uses it.
type transitionLogger struct {
	server      *Server
	rehearsals  map[string]bool
	unreachable map[fleet.DataCentreID]bool
	// laggingSince is when newer settings became known; zero while there are none.
	laggingSince time.Time
	// lagging is set once the lag has been logged.
	lagging bool
}

func newTransitionLogger(s *Server) *transitionLogger {
	return &transitionLogger{server: s, rehearsals: map[string]bool{}, unreachable: map[fleet.DataCentreID]bool{}}
}

// tick compares the conditions with those of the previous tick and logs the transitions.
func (l *transitionLogger) tick(now time.Time) {
	l.logEndedRehearsals()
	l.logReachability()
	l.logSettingsLag(now)
}

func (l *transitionLogger) logEndedRehearsals() {
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

func (l *transitionLogger) logReachability() {
	for _, dc := range l.server.fleetView().members.DataCentres {
		unreachable := !dc.Reachable && dc.DataCentre != l.server.cfg.DomainID()
		if unreachable == l.unreachable[dc.DataCentre] {
			continue
		}
		l.unreachable[dc.DataCentre] = unreachable
		id := event.DataCentreReachable
		if unreachable {
			id = event.DataCentreUnreachable
		}
		l.server.log.Log(id).Str("data_centre", string(dc.DataCentre)).Int64("age_ms", dc.Age.Milliseconds()).Send()
	}
}

func (l *transitionLogger) logSettingsLag(now time.Time) {
	view := l.server.settings.View()
	if view.Offset >= view.HighestOffset {
		if l.lagging {
			l.server.log.Log(event.SettingsCaughtUp).Uint64("applied", view.Offset).Send()
		}
		l.lagging, l.laggingSince = false, time.Time{}
		return
	}
	if l.laggingSince.IsZero() {
		l.laggingSince = now
	}
	if !l.lagging && now.Sub(l.laggingSince) >= maxSettingsLag {
		l.lagging = true
		l.server.log.Log(event.SettingsBehind).Uint64("applied", view.Offset).Uint64("highest", view.HighestOffset).Send()
	}
}
