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

// recordCrash records the requests that were running on an upstream when it crashed.
func (p *parts) recordCrash(now time.Time, id CrashID, fingerprints []Fingerprint) {
	c := crashcause.Crash{Upstream: notice.Instance{ID: id.Upstream, StartMillis: int64(xxhash.Sum64String(id.Incarnation))}}
	for i := range fingerprints {
		f := &fingerprints[i]
		c.Add([]crashcause.Run{{Began: true, Request: f.request(), Parts: f.Parts}})
	}
	p.causes.RecordCrash(now, c)
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

// refuses reports whether a request is refused because of its parts, and until when. isOwner says
// whether this VM finds out for all whether such requests still crash upstreams.
func (p *parts) refuses(now time.Time, f *Fingerprint, isOwner func(key string) bool) (until time.Time, refused bool) {
	if p.filter == nil || len(f.Parts) == 0 {
		return time.Time{}, false
	}
	group, found := p.filter.Match(f.Parts)
	if !found {
		return time.Time{}, false
	}
	if group.TrialDue(now) && isOwner(strconv.FormatUint(uint64(group.Parts[0]), 16)) {
		p.causes.RecordTrial(now, group.Parts)
		p.update(now)
		return time.Time{}, false
	}
	return group.TrialFrom, true
}

func (p *parts) update(now time.Time) {
	if _, changed := p.causes.Update(now); changed {
		p.filter = p.causes.Filter()
	}
}
