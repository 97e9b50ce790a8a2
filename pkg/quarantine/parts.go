package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/notice"
)

// parts finds parts of bodies that crash upstreams, in requests that are otherwise not alike.
type parts struct {
	causes *crashcause.Tracker
	// filter is nil if there is nothing to check.
	filter *crashcause.Filter
}

// recordCrash records the requests that were running on an upstream when it crashed. A request whose
// answer had not begun is suspected at once if no request with its part has completed here.
func (p *parts) recordCrash(now time.Time, id CrashID, fingerprints []Fingerprint, starting []bool) {
	c := crashcause.Crash{Upstream: notice.Instance{ID: id.Upstream, StartMillis: int64(xxhash.Sum64String(id.Incarnation))}}
	for i := range fingerprints {
		f := &fingerprints[i]
		c.Add([]crashcause.Run{{Began: true, Starting: i < len(starting) && starting[i], Request: f.RequestPart(), Parts: f.Parts}})
	}
	p.causes.RecordCrash(now, c)
	p.update(now)
}

// recordKnown records that a request ran to its end.
func (p *parts) recordKnown(f *Fingerprint) { p.causes.RecordKnownSound(f.Parts) }

// recordTrial records that a request with refused parts is let through at this VM or at another one.
func (p *parts) recordTrial(now time.Time, parts []crashcause.Part) {
	p.causes.RecordTrial(now, parts)
	p.update(now)
}

// suspected reports whether the completion of a request is evidence.
func (p *parts) suspected(f *Fingerprint) bool {
	return p.filter != nil && len(p.filter.Suspected(f.allParts())) > 0
}

// recordCompleted records that a request ran to its end.
func (p *parts) recordCompleted(now time.Time, f *Fingerprint) {
	var sound []crashcause.SoundRuns
	for _, part := range f.allParts() {
		sound = append(sound, crashcause.SoundRuns{Part: part, Runs: 1})
	}
	p.causes.RecordSound(now, sound)
}

// refuses reports whether a request is refused because of its parts, and until when. If it is let
// through to find out whether such requests still crash upstreams, it returns the parts in question.
// vmsBefore returns the number of VMs that come before this one for a key.
func (p *parts) refuses(now time.Time, f *Fingerprint, vmsBefore func(key string) int) (until time.Time, trial []crashcause.Part, refused bool) {
	if p.filter == nil || len(f.Parts) == 0 {
		return time.Time{}, nil, false
	}
	group, found := p.filter.Match(f.Parts)
	if !found {
		return time.Time{}, nil, false
	}
	ahead := vmsBefore(strconv.FormatUint(uint64(group.Parts[0]), 16))
	if now.Before(group.TrialFrom.Add(crashcause.TrialDelay(ahead))) {
		return group.TrialFrom, nil, true
	}
	p.recordTrial(now, group.Parts)
	return time.Time{}, group.Parts, false
}

func (p *parts) update(now time.Time) {
	if _, changed := p.causes.Update(now); changed {
		p.filter = p.causes.Filter()
	}
}
