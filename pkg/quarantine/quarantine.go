// Package quarantine identifies requests that crash the upstreams that run them and refuses
// them. It is a pure state machine: events, messages of other entry VMs and the current time
// go in, actions (allow, refuse, send) come out.
//
// Every request that was running on an upstream when it crashed becomes a suspect on all
// VMs. A suspect may run again, but near-identical suspects run on one chain at a time in
// the whole fleet. To run, a suspect needs a permit of an owner VM, which a rendezvous hash
// selects. A suspect that completes is cleared. A suspect that is present at a second crash
// is quarantined if no other request on that upstream was present at an earlier crash. If
// there were several such suspects, they run strictly one after another, so that a third
// crash identifies the one that causes the crashes.
//
// Bound: per fingerprint and suspicion period at most 3 upstreams crash in the whole fleet,
// plus the upstreams that were already running other copies when their VM learned of the
// first crash. A caller that resends only after a failure has no other copies running, so
// the bound for it is 3. The bound holds while the VMs reach each other. A VM that cannot
// reach the owner refuses suspects.
package quarantine

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// Config holds the limits of a Tracker.
type Config struct {
	// ReportWindow is how long the reports of a crash from all VMs are collected before the
	// crash is evaluated.
	ReportWindow time.Duration
	// SuspicionPeriod is how long a request remains a suspect after its latest crash.
	SuspicionPeriod time.Duration
	// QuarantineDuration is how long a quarantined fingerprint is refused.
	QuarantineDuration time.Duration
	// PermitDuration is how long a permit lasts unless it is renewed.
	PermitDuration time.Duration
	// PermitTimeout bounds how long a suspect waits for a permit before it is refused. It
	// must exceed PermitDuration/2, during which owners grant nothing after a change of the
	// VMs. Otherwise the loss of an engine soon after a VM joined would break the streams
	// that ran on the engine.
	PermitTimeout time.Duration
	// MaxSuspects bounds the number of suspects and so the memory. The oldest suspects are
	// dropped for new ones.
	MaxSuspects int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		ReportWindow: 300 * time.Millisecond, SuspicionPeriod: 5 * time.Minute, QuarantineDuration: 10 * time.Minute,
		PermitDuration: 4 * time.Second, PermitTimeout: 4 * time.Second, MaxSuspects: 4096,
	}
}

// CrashID identifies a crash: the upstream and the incarnation of it that crashed.
type CrashID struct {
	Upstream    fleet.UpstreamID `msgpack:"u"`
	Incarnation string           `msgpack:"i"`
}

// Kind is the kind of a message between entry VMs.
type Kind uint8

// The kinds of messages.
const (
	// CrashReport carries the fingerprints of the sender's requests that were running on a
	// crashed upstream.
	CrashReport Kind = iota + 1
	// Cleared announces that a suspect completed and is no longer suspected.
	Cleared
	// PermitRequest requests a permit from the owner, or renews it.
	PermitRequest
	// PermitGrant grants a permit to the VM that requested it.
	PermitGrant
	// PermitRelease releases a permit or withdraws the request for it.
	PermitRelease
	// Completed announces that a request with suspected parts completed.
	Completed
	// TrialBegun announces that the sender lets a request with refused parts run, to find out whether
	// it still crashes upstreams.
	TrialBegun
)

// Message is sent between entry VMs. An empty To addresses all VMs.
type Message struct {
	Kind         Kind            `msgpack:"k"`
	From         fleet.VMID      `msgpack:"f"`
	To           fleet.VMID      `msgpack:"o,omitempty"`
	Crash        CrashID         `msgpack:"c"`
	Fingerprints []Fingerprint   `msgpack:"p,omitempty"`
	Request      fleet.RequestID `msgpack:"r,omitempty"`
	// Starting says for each of the Fingerprints of a CrashReport whether its answer had not begun.
	Starting []bool `msgpack:"s,omitempty"`
	// Parts are those of a TrialBegun.
	Parts []crashcause.Part `msgpack:"a,omitempty"`
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Allow lets a request run. Avoid lists upstreams that run other suspects.
	Allow ActionKind = iota
	// Refuse refuses a request before it runs, with Code and RetryAfter.
	Refuse
	// Send sends Message to its receiver, or to all VMs.
	Send
)

// Action is a decision of the tracker.
type Action struct {
	Kind       ActionKind
	Request    fleet.RequestID
	Avoid      []fleet.UpstreamID
	Code       result.Code
	RetryAfter time.Duration
	Message    Message
}

// suspect is a fingerprint that was present at a crash.
type suspect struct {
	print            Fingerprint
	crashes          []CrashID
	suspicion        float64 // sum over all crashes of 1/(number of requests in the report)
	lastCrash        time.Time
	quarantinedUntil time.Time // zero if not quarantined
}

// crash collects the reports of one crash until it is evaluated.
type crash struct {
	id            CrashID
	firstReportAt time.Time
	evaluated     bool
	present       []*suspect // suspects that were running on the upstream
}

// runningRequest is a request that runs on a chain of upstreams.
type runningRequest struct {
	print     Fingerprint
	upstreams []fleet.UpstreamID
	hasPermit bool
	renewedAt time.Time
	// answering is set once the answer has begun.
	answering bool
}

// waitingRequest is a suspect that waits for a permit.
type waitingRequest struct {
	id              fleet.RequestID
	print           Fingerprint
	since           time.Time
	permitRequested bool
	requestedAt     time.Time
}

// permitRequestInterval is the interval at which a waiting request repeats its request for a
// permit: a message may be lost in either direction.
const permitRequestInterval = 500 * time.Millisecond

// Tracker holds the suspects known to one entry VM. It is not safe for concurrent use.
type Tracker struct {
	cfg            Config
	self           fleet.VMID
	vms            []fleet.VMID
	noGrantsBefore time.Time
	suspects       []*suspect
	crashes        []*crash
	running        map[fleet.RequestID]*runningRequest
	waiting        []*waitingRequest
	permits        []*permit
	parts          parts
	// joined holds the VMs that joined lately.
	joined []*joinedVM
}

// New returns a tracker for the VM self. Until SetVMs is called, self is the only VM.
func New(cfg Config, self fleet.VMID) *Tracker {
	return &Tracker{
		cfg: cfg, self: self, vms: []fleet.VMID{self}, running: make(map[fleet.RequestID]*runningRequest),
		parts: parts{causes: crashcause.NewTracker()},
	}
}

// SetConfig replaces the limits. Quarantines already in force keep their end.
func (t *Tracker) SetConfig(cfg Config) { t.cfg = cfg }

// SetVMs replaces the list of live VMs, which includes self. The owners of permits change
// with it, so this VM grants no permit for PermitDuration/2, until the holders of permits
// have renewed them with their new owner.
func (t *Tracker) SetVMs(now time.Time, vms []fleet.VMID) {
	vms = slices.Sorted(slices.Values(vms))
	if slices.Equal(vms, t.vms) {
		return
	}
	if len(t.vms) > 1 {
		t.noGrantsBefore = now.Add(t.cfg.PermitDuration / 2)
	}
	t.recordJoined(now, vms)
	t.vms = vms
}

// Admit decides on a request before it is placed on a chain. A request that is not a suspect
// is allowed at once, a suspect waits for a permit, and a quarantined request is refused.
func (t *Tracker) Admit(now time.Time, id fleet.RequestID, f *Fingerprint, out []Action) []Action {
	until, trial, refused := t.parts.refuses(now, f, t.vmsBefore)
	if refused {
		return append(out, Action{Kind: Refuse, Request: id, Code: result.Quarantined, RetryAfter: max(until.Sub(now), t.cfg.PermitTimeout)})
	}
	if trial != nil {
		out = append(out, Action{Kind: Send, Message: Message{Kind: TrialBegun, From: t.self, Parts: trial}})
	}
	s := t.findSuspect(f)
	if s == nil {
		return append(out, Action{Kind: Allow, Request: id})
	}
	if now.Before(s.quarantinedUntil) {
		return append(out, Action{Kind: Refuse, Request: id, Code: result.Quarantined, RetryAfter: s.quarantinedUntil.Sub(now)})
	}
	w := &waitingRequest{id: id, print: *f, since: now}
	t.waiting = append(t.waiting, w)
	return t.requestPermit(now, w, s, out)
}

// requestPermit requests a permit unless the suspect must not run now.
func (t *Tracker) requestPermit(now time.Time, w *waitingRequest, s *suspect, out []Action) []Action {
	if t.isBlocked(now, s) {
		return out
	}
	w.permitRequested, w.requestedAt = true, now
	return t.sendToOwner(now, Message{Kind: PermitRequest, Request: w.id, Fingerprints: []Fingerprint{w.print}}, s, out)
}

// hasUnevaluatedCrash reports whether the suspect was present at a crash that is not
// evaluated yet.
func (t *Tracker) hasUnevaluatedCrash(s *suspect) bool {
	for _, c := range t.crashes {
		if !c.evaluated && slices.Contains(c.present, s) {
			return true
		}
	}
	return false
}

// RecordStart records the chain on which a request runs.
func (t *Tracker) RecordStart(now time.Time, id fleet.RequestID, f *Fingerprint, chain []fleet.UpstreamID) {
	r := t.running[id]
	if r == nil {
		r = &runningRequest{}
		t.running[id] = r
	}
	r.print, r.upstreams, r.renewedAt = *f, chain, now
}

// RecordProgress records that the answer to a running request goes on.
func (t *Tracker) RecordProgress(id fleet.RequestID) {
	if r := t.running[id]; r != nil {
		r.answering = true
	}
}

// RecordEnd records the end of a request. completed is set if the request ran to its end. A
// suspect that completed under a permit is cleared on all VMs.
func (t *Tracker) RecordEnd(now time.Time, id fleet.RequestID, completed bool, out []Action) []Action {
	t.waiting = slices.DeleteFunc(t.waiting, func(w *waitingRequest) bool { return w.id == id })
	r := t.running[id]
	if r == nil {
		return out
	}
	delete(t.running, id)
	if completed {
		t.parts.recordKnown(&r.print)
	}
	if completed && t.parts.suspected(&r.print) {
		t.parts.recordCompleted(now, &r.print)
		out = append(out, Action{Kind: Send, Message: Message{Kind: Completed, From: t.self, Fingerprints: []Fingerprint{r.print}}})
	}
	s := t.findSuspect(&r.print)
	if r.hasPermit {
		out = t.sendToOwner(now, Message{Kind: PermitRelease, Request: id, Fingerprints: []Fingerprint{r.print}}, s, out)
	}
	// Only a request with the same normalised body as the suspect clears it, and only if it
	// ran under a permit. Copies that started before the crash ran without one, next to other
	// copies, so their completion says less about the body.
	if completed && r.hasPermit && s != nil && s.print.BodyHash == r.print.BodyHash && s.quarantinedUntil.IsZero() {
		t.removeSuspect(s)
		out = append(out, Action{Kind: Send, Message: Message{Kind: Cleared, From: t.self, Fingerprints: []Fingerprint{s.print}}})
	}
	return out
}

// RecordCrash records that an upstream crashed. The requests of this VM that were running on
// it become suspects here and, by message, on all VMs. The caller then records their end
// with RecordEnd and may call Admit for them again.
func (t *Tracker) RecordCrash(now time.Time, id CrashID, out []Action) []Action {
	var fingerprints []Fingerprint
	var starting []bool
	for _, request := range t.runningOn(id.Upstream) {
		fingerprints = append(fingerprints, t.running[request].print)
		starting = append(starting, !t.running[request].answering)
	}
	if len(fingerprints) == 0 {
		return out
	}
	t.addCrashReport(now, id, fingerprints, starting)
	return append(out, Action{Kind: Send, Message: Message{Kind: CrashReport, From: t.self, Crash: id, Fingerprints: fingerprints, Starting: starting}})
}

// runningOn returns the requests that run on an upstream, sorted so that actions are
// deterministic.
func (t *Tracker) runningOn(upstream fleet.UpstreamID) []fleet.RequestID {
	var ids []fleet.RequestID
	for id, r := range t.running {
		if slices.Contains(r.upstreams, upstream) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Receive handles a message of another VM.
func (t *Tracker) Receive(now time.Time, m Message, out []Action) []Action {
	switch m.Kind {
	case CrashReport:
		t.addCrashReport(now, m.Crash, m.Fingerprints, m.Starting)
	case Cleared:
		for i := range m.Fingerprints {
			if s := t.findSuspect(&m.Fingerprints[i]); s != nil && s.print.BodyHash == m.Fingerprints[i].BodyHash && s.quarantinedUntil.IsZero() {
				t.removeSuspect(s)
			}
		}
	case Completed:
		for i := range m.Fingerprints {
			t.parts.recordCompleted(now, &m.Fingerprints[i])
		}
	case TrialBegun:
		t.parts.recordTrial(now, m.Parts)
	case PermitRequest, PermitRelease:
		return t.handleAsOwner(now, m, out)
	case PermitGrant:
		return t.handleGrant(now, m, out)
	}
	return out
}

// addCrashReport adds the fingerprints of a crash report to the crash and to the suspects. starting
// says which of the answers had not begun.
func (t *Tracker) addCrashReport(now time.Time, id CrashID, fingerprints []Fingerprint, starting []bool) {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.id == id })
	if i < 0 {
		t.crashes = append(t.crashes, &crash{id: id, firstReportAt: now})
		i = len(t.crashes) - 1
	}
	c := t.crashes[i]
	t.parts.recordCrash(now, id, fingerprints, starting)
	for k := range fingerprints {
		s := t.findSuspect(&fingerprints[k])
		if s == nil {
			s = &suspect{print: fingerprints[k]}
			if over := len(t.suspects) - t.cfg.MaxSuspects + 1; over > 0 {
				t.suspects = slices.Delete(t.suspects, 0, over)
			}
			t.suspects = append(t.suspects, s)
		}
		if !slices.Contains(s.crashes, id) {
			s.crashes = append(s.crashes, id)
			s.suspicion += 1 / float64(len(fingerprints))
			s.lastCrash = now
		}
		if !slices.Contains(c.present, s) {
			c.present = append(c.present, s)
		}
		t.resetPermitRequests(s)
	}
}

// resetPermitRequests makes the waiting requests of a suspect request their permit again. A
// further crash changes whether the suspect may run and which requests it shares the permit
// with.
func (t *Tracker) resetPermitRequests(s *suspect) {
	for _, w := range t.waiting {
		if s.print.Similar(&w.print) {
			w.permitRequested = false
		}
	}
}

// isBlocked reports whether the suspect must not start now: it is quarantined, or it was
// present at two or more crashes and one of them is not evaluated yet.
func (t *Tracker) isBlocked(now time.Time, s *suspect) bool {
	return s != nil && (now.Before(s.quarantinedUntil) || len(s.crashes) > 1 && t.hasUnevaluatedCrash(s))
}

// evaluateCrash quarantines the suspect that a crash identifies: the only suspect there that
// was present at an earlier crash, or any suspect present at its third crash.
func (t *Tracker) evaluateCrash(now time.Time, c *crash) {
	c.evaluated = true
	var repeated []*suspect
	for _, s := range c.present {
		if len(s.crashes) > 1 && slices.Contains(t.suspects, s) {
			repeated = append(repeated, s)
		}
	}
	for _, s := range repeated {
		if len(repeated) == 1 || len(s.crashes) > 2 {
			s.quarantinedUntil = now.Add(t.cfg.QuarantineDuration)
		}
	}
}

// Tick evaluates crashes whose report window has ended, drops expired suspects, refuses
// requests that waited too long, and renews and grants permits. It must be called at least
// every 100 ms while suspects wait.
func (t *Tracker) Tick(now time.Time, out []Action) []Action {
	for _, c := range t.crashes {
		if !c.evaluated && now.Sub(c.firstReportAt) >= t.cfg.ReportWindow {
			t.evaluateCrash(now, c)
		}
	}
	t.parts.causes.SetAlone(len(t.vms) <= 1)
	t.parts.update(now)
	t.expire(now)
	out = t.handOver(now, out)
	out = t.updateWaiting(now, out)
	out = t.renewPermits(now, out)
	return t.expirePermits(now, out)
}

// expire removes the crashes, suspects and quarantines that have expired.
func (t *Tracker) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.firstReportAt) > t.cfg.SuspicionPeriod })
	t.suspects = slices.DeleteFunc(t.suspects, func(s *suspect) bool {
		if !s.quarantinedUntil.IsZero() {
			return !now.Before(s.quarantinedUntil)
		}
		return now.Sub(s.lastCrash) > t.cfg.SuspicionPeriod
	})
}

// updateWaiting allows or refuses the waiting requests where the decision changed or the
// permit timeout passed, and requests the permits of the others.
func (t *Tracker) updateWaiting(now time.Time, out []Action) []Action {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		s := t.findSuspect(&w.print)
		switch {
		case s == nil:
			out = append(out, Action{Kind: Allow, Request: w.id})
		case now.Before(s.quarantinedUntil):
			out = append(out, Action{Kind: Refuse, Request: w.id, Code: result.Quarantined, RetryAfter: s.quarantinedUntil.Sub(now)})
			out = t.sendToOwner(now, Message{Kind: PermitRelease, Request: w.id, Fingerprints: []Fingerprint{w.print}}, s, out)
		case now.Sub(w.since) > t.cfg.PermitTimeout:
			// The request is not quarantined. Its permit did not come in time, because other
			// suspects held it or because the owner did not answer.
			out = append(out, Action{Kind: Refuse, Request: w.id, Code: result.NoUpstream, RetryAfter: t.cfg.PermitTimeout})
			out = t.sendToOwner(now, Message{Kind: PermitRelease, Request: w.id, Fingerprints: []Fingerprint{w.print}}, s, out)
		default:
			kept = append(kept, w)
		}
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	for _, w := range slices.Clone(kept) {
		requestDue := !w.permitRequested || now.Sub(w.requestedAt) >= permitRequestInterval
		if s := t.findSuspect(&w.print); requestDue && s != nil {
			out = t.requestPermit(now, w, s, out)
		}
	}
	return out
}

// handleGrant allows the waiting request that was granted its permit.
func (t *Tracker) handleGrant(now time.Time, m Message, out []Action) []Action {
	i := slices.IndexFunc(t.waiting, func(w *waitingRequest) bool { return w.id == m.Request })
	if i < 0 {
		if r := t.running[m.Request]; r != nil && r.hasPermit {
			return out // the permit was already granted
		}
		// The request ended in the meantime, so its permit is released.
		if len(m.Fingerprints) == 0 {
			return out
		}
		return t.sendToOwner(now, Message{Kind: PermitRelease, Request: m.Request, Fingerprints: m.Fingerprints}, t.findSuspect(&m.Fingerprints[0]), out)
	}
	w := t.waiting[i]
	if s := t.findSuspect(&w.print); t.isBlocked(now, s) || !w.permitRequested {
		// A crash became known after the permit was requested. The request releases the permit
		// and requests another one later.
		w.permitRequested = false
		return t.sendToOwner(now, Message{Kind: PermitRelease, Request: w.id, Fingerprints: []Fingerprint{w.print}}, s, out)
	}
	t.waiting = slices.Delete(t.waiting, i, i+1)
	t.running[w.id] = &runningRequest{print: w.print, hasPermit: true, renewedAt: now}
	return append(out, Action{Kind: Allow, Request: w.id, Avoid: t.suspectUpstreams()})
}

// suspectUpstreams returns the upstreams on which suspects of this VM run under a permit.
func (t *Tracker) suspectUpstreams() []fleet.UpstreamID {
	var ups []fleet.UpstreamID
	for _, r := range t.running {
		if r.hasPermit {
			ups = append(ups, r.upstreams...)
		}
	}
	slices.Sort(ups)
	return slices.Compact(ups)
}

// Suspects returns the number of suspects and how many of them are quarantined.
func (t *Tracker) Suspects(now time.Time) (suspects, quarantined int) {
	for _, s := range t.suspects {
		if now.Before(s.quarantinedUntil) {
			quarantined++
		}
	}
	return len(t.suspects), quarantined
}

// findSuspect returns the first suspect that is similar to the fingerprint, or nil.
func (t *Tracker) findSuspect(f *Fingerprint) *suspect {
	for _, s := range t.suspects {
		if s.print.Similar(f) {
			return s
		}
	}
	return nil
}

func (t *Tracker) removeSuspect(s *suspect) {
	t.suspects = slices.DeleteFunc(t.suspects, func(o *suspect) bool { return o == s })
}

// ownerOf returns the VM that decides for all about a key.
func (t *Tracker) ownerOf(key string) fleet.VMID { return fleet.Owner(key, slices.Values(t.vms)) }
