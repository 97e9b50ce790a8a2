// Package quarantine finds requests that crash the upstreams that run them. It
// is a pure state machine: events, messages of other entry VMs and a time go in,
// actions (allow, refuse, send) come out.
//
// Every request that ran on a crashed upstream becomes a suspect on all VMs.
// A suspect may run again, but near-identical suspects run on one chain at a
// time in the whole fleet, permitted by an owner VM (rendezvous hash). A suspect
// that ends well is cleared. A suspect present at a second crash is quarantined
// when it is the only one there that was present at an earlier crash; if several
// were, they run strictly one after another, so that a third crash names the one.
//
// Bound: per fingerprint and suspicion period at most 3 upstreams crash in the
// whole fleet, plus the upstreams that were already running further copies when
// the first crash became known to their VM. A caller that resends after a
// failure has no further copies running, so the bound is then 3. It holds while
// the VMs reach each other; a VM that cannot reach the owner refuses suspects.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// Config holds the times of a Tracker.
type Config struct {
	// Settle is how long reports of one crash are gathered before it is judged.
	Settle time.Duration
	// SuspectFor is how long a suspicion lasts after the latest crash.
	SuspectFor time.Duration
	// RefuseFor is how long a quarantined fingerprint is refused.
	RefuseFor time.Duration
	// PermitFor is how long a permit lasts unless it is renewed.
	PermitFor time.Duration
	// WaitFor bounds how long a suspect waits for a permit before it is refused. It
	// exceeds PermitFor/2, for which owners grant nothing after VMs changed: with
	// less, each loss of an engine soon after a VM joined broke its streams.
	WaitFor time.Duration
	// MaxSuspects bounds the memory; the oldest suspicion makes room.
	MaxSuspects int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Settle: 300 * time.Millisecond, SuspectFor: 5 * time.Minute, RefuseFor: 10 * time.Minute,
		PermitFor: 4 * time.Second, WaitFor: 4 * time.Second, MaxSuspects: 4096,
	}
}

// CrashID names a crash: the upstream and the incarnation that ended.
type CrashID struct {
	Upstream    fleet.UpstreamID `msgpack:"u"`
	Incarnation string           `msgpack:"i"`
}

// Kind is the kind of a message between entry VMs.
type Kind uint8

// The kinds of messages.
const (
	// Crash announces the fingerprints that the sender ran on a crashed upstream.
	Crash Kind = iota + 1
	// Cleared announces a suspect that ended well.
	Cleared
	// Want asks the owner for a permit, or renews it.
	Want
	// Grant gives the permit.
	Grant
	// Done returns the permit.
	Done
)

// Message is sent between entry VMs. An empty To means all.
type Message struct {
	Kind         Kind            `msgpack:"k"`
	From         fleet.VMID      `msgpack:"f"`
	To           fleet.VMID      `msgpack:"o,omitempty"`
	Crash        CrashID         `msgpack:"c"`
	Fingerprints []Fingerprint   `msgpack:"p,omitempty"`
	Request      fleet.RequestID `msgpack:"r,omitempty"`
}

// ActionKind says what to do.
type ActionKind uint8

// The kinds of actions.
const (
	// Allow lets a request run. Avoid lists upstreams that run other suspects.
	Allow ActionKind = iota
	// Refuse ends a request that was not run.
	Refuse
	// Send sends Message.
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
	print       Fingerprint
	crashes     []CrashID
	suspicion   float64 // sum over crashes of 1/(requests present)
	lastCrash   time.Time
	quarantined time.Time // end of the refusal, zero when not quarantined
}

// crash gathers the reports of one crash until it is judged.
type crash struct {
	id      CrashID
	first   time.Time
	judged  bool
	present []*suspect
}

type running struct {
	print     Fingerprint
	upstreams []fleet.UpstreamID
	permit    bool
	renewed   time.Time
}

type waiting struct {
	id    fleet.RequestID
	print Fingerprint
	since time.Time
	asked bool
}

// Tracker holds the suspicions known to one entry VM. It is not safe for concurrent use.
type Tracker struct {
	cfg      Config
	self     fleet.VMID
	vms      []fleet.VMID
	graceTo  time.Time
	suspects []*suspect
	crashes  []*crash
	running  map[fleet.RequestID]*running
	waiting  []*waiting
	permits  []*permit
}

// New returns a tracker of the VM self, which is alone until SetVMs.
func New(cfg Config, self fleet.VMID) *Tracker {
	return &Tracker{cfg: cfg, self: self, vms: []fleet.VMID{self}, running: make(map[fleet.RequestID]*running)}
}

// SetConfig replaces the limits. Quarantines in force keep their end.
func (t *Tracker) SetConfig(cfg Config) { t.cfg = cfg }

// SetVMs replaces the live VMs, among them self. Owners change with them, so no
// permit is granted until the holders had time to renew with the new owner.
func (t *Tracker) SetVMs(now time.Time, vms []fleet.VMID) {
	vms = slices.Sorted(slices.Values(vms))
	if slices.Equal(vms, t.vms) {
		return
	}
	if len(t.vms) > 1 {
		t.graceTo = now.Add(t.cfg.PermitFor / 2)
	}
	t.vms = vms
}

// Admit decides on a request before it is placed. Without suspicion it is
// allowed at once; a suspect waits for a permit; a quarantined one is refused.
func (t *Tracker) Admit(now time.Time, id fleet.RequestID, f *Fingerprint, out []Action) []Action {
	s := t.find(f)
	if s == nil {
		return append(out, Action{Kind: Allow, Request: id})
	}
	if now.Before(s.quarantined) {
		return append(out, Action{Kind: Refuse, Request: id, Code: result.Quarantined, RetryAfter: s.quarantined.Sub(now)})
	}
	w := &waiting{id: id, print: *f, since: now}
	t.waiting = append(t.waiting, w)
	return t.ask(now, w, s, out)
}

// ask requests the permit unless the latest crash is still being judged.
func (t *Tracker) ask(now time.Time, w *waiting, s *suspect, out []Action) []Action {
	if t.held(now, s) {
		return out
	}
	w.asked = true
	return t.toOwner(now, Message{Kind: Want, Request: w.id, Fingerprints: []Fingerprint{w.print}}, s, out)
}

func (t *Tracker) unjudged(s *suspect) bool {
	for _, c := range t.crashes {
		if !c.judged && slices.Contains(c.present, s) {
			return true
		}
	}
	return false
}

// Started books the chain on which a request runs.
func (t *Tracker) Started(now time.Time, id fleet.RequestID, f *Fingerprint, chain []fleet.UpstreamID) {
	r := t.running[id]
	if r == nil {
		r = &running{}
		t.running[id] = r
	}
	r.print, r.upstreams, r.renewed = *f, chain, now
}

// Ended books the end of a request. Ok is set when it ran to its end, which
// clears its suspicion on all VMs.
func (t *Tracker) Ended(now time.Time, id fleet.RequestID, ok bool, out []Action) []Action {
	t.waiting = slices.DeleteFunc(t.waiting, func(w *waiting) bool { return w.id == id })
	r := t.running[id]
	if r == nil {
		return out
	}
	delete(t.running, id)
	s := t.find(&r.print)
	if r.permit {
		out = t.toOwner(now, Message{Kind: Done, Request: id, Fingerprints: []Fingerprint{r.print}}, s, out)
	}
	// Only the very body that was present at the crash clears the suspicion, and
	// only after it ran on its own: other copies started before the crash prove less.
	if ok && r.permit && s != nil && s.print.Exact == r.print.Exact && s.quarantined.IsZero() {
		t.forget(s)
		out = append(out, Action{Kind: Send, Message: Message{Kind: Cleared, From: t.self, Fingerprints: []Fingerprint{s.print}}})
	}
	return out
}

// Crashed books that an upstream failed while it ran requests. The requests of
// this VM on it become suspects here and, by message, on all VMs. The caller
// then books their end with Ended and may admit them again.
func (t *Tracker) Crashed(now time.Time, id CrashID, out []Action) []Action {
	var prints []Fingerprint
	for _, request := range t.runningOn(id.Upstream) {
		prints = append(prints, t.running[request].print)
	}
	if len(prints) == 0 {
		return out
	}
	t.book(now, id, prints)
	return append(out, Action{Kind: Send, Message: Message{Kind: Crash, From: t.self, Crash: id, Fingerprints: prints}})
}

// runningOn returns the requests on an upstream in a fixed order.
func (t *Tracker) runningOn(up fleet.UpstreamID) []fleet.RequestID {
	var ids []fleet.RequestID
	for id, r := range t.running {
		if slices.Contains(r.upstreams, up) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Received books a message of another VM.
func (t *Tracker) Received(now time.Time, m Message, out []Action) []Action {
	switch m.Kind {
	case Crash:
		t.book(now, m.Crash, m.Fingerprints)
	case Cleared:
		for i := range m.Fingerprints {
			if s := t.find(&m.Fingerprints[i]); s != nil && s.print.Exact == m.Fingerprints[i].Exact && s.quarantined.IsZero() {
				t.forget(s)
			}
		}
	case Want, Done:
		return t.owner(now, m, out)
	case Grant:
		return t.granted(now, m, out)
	}
	return out
}

// book adds a report of a crash to the suspicions.
func (t *Tracker) book(now time.Time, id CrashID, prints []Fingerprint) {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.id == id })
	if i < 0 {
		t.crashes = append(t.crashes, &crash{id: id, first: now})
		i = len(t.crashes) - 1
	}
	c := t.crashes[i]
	for k := range prints {
		s := t.find(&prints[k])
		if s == nil {
			s = &suspect{print: prints[k]}
			if over := len(t.suspects) - t.cfg.MaxSuspects + 1; over > 0 {
				t.suspects = slices.Delete(t.suspects, 0, over)
			}
			t.suspects = append(t.suspects, s)
		}
		if !slices.Contains(s.crashes, id) {
			s.crashes = append(s.crashes, id)
			s.suspicion += 1 / float64(len(prints))
			s.lastCrash = now
		}
		if !slices.Contains(c.present, s) {
			c.present = append(c.present, s)
		}
		t.askAgain(s)
	}
}

// askAgain makes waiting requests of the suspect ask for a new permit: a further
// crash changes whether and with whom the suspect may run.
func (t *Tracker) askAgain(s *suspect) {
	for _, w := range t.waiting {
		if s.print.Similar(&w.print) {
			w.asked = false
		}
	}
}

// held reports whether the suspect must not start now: it is quarantined, or a
// second crash at which it was present is still being judged.
func (t *Tracker) held(now time.Time, s *suspect) bool {
	return s != nil && (now.Before(s.quarantined) || len(s.crashes) > 1 && t.unjudged(s))
}

// judge quarantines the suspect that a settled crash names.
func (t *Tracker) judge(now time.Time, c *crash) {
	c.judged = true
	var again []*suspect
	for _, s := range c.present {
		if len(s.crashes) > 1 && slices.Contains(t.suspects, s) {
			again = append(again, s)
		}
	}
	for _, s := range again {
		if len(again) == 1 || len(s.crashes) > 2 {
			s.quarantined = now.Add(t.cfg.RefuseFor)
		}
	}
}

// Tick judges settled crashes, refuses suspects that waited too long, renews
// permits and ends old suspicions. It is called at least every 100 ms while
// suspects wait.
func (t *Tracker) Tick(now time.Time, out []Action) []Action {
	for _, c := range t.crashes {
		if !c.judged && now.Sub(c.first) >= t.cfg.Settle {
			t.judge(now, c)
		}
	}
	t.expire(now)
	out = t.tickWaiting(now, out)
	out = t.renew(now, out)
	return t.tickPermits(now, out)
}

func (t *Tracker) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.first) > t.cfg.SuspectFor })
	t.suspects = slices.DeleteFunc(t.suspects, func(s *suspect) bool {
		if !s.quarantined.IsZero() {
			return !now.Before(s.quarantined)
		}
		return now.Sub(s.lastCrash) > t.cfg.SuspectFor
	})
}

// tickWaiting decides again on the waiting requests.
func (t *Tracker) tickWaiting(now time.Time, out []Action) []Action {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		s := t.find(&w.print)
		switch {
		case s == nil:
			out = append(out, Action{Kind: Allow, Request: w.id})
		case now.Before(s.quarantined):
			out = append(out, Action{Kind: Refuse, Request: w.id, Code: result.Quarantined, RetryAfter: s.quarantined.Sub(now)})
			out = t.toOwner(now, Message{Kind: Done, Request: w.id, Fingerprints: []Fingerprint{w.print}}, s, out)
		case now.Sub(w.since) > t.cfg.WaitFor:
			// The request is not blamed: it ran out of time behind other suspects.
			out = append(out, Action{Kind: Refuse, Request: w.id, Code: result.NoUpstream, RetryAfter: t.cfg.WaitFor})
			out = t.toOwner(now, Message{Kind: Done, Request: w.id, Fingerprints: []Fingerprint{w.print}}, s, out)
		default:
			kept = append(kept, w)
		}
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	for _, w := range slices.Clone(kept) {
		if s := t.find(&w.print); !w.asked && s != nil {
			out = t.ask(now, w, s, out)
		}
	}
	return out
}

// granted starts the waiting request that received its permit.
func (t *Tracker) granted(now time.Time, m Message, out []Action) []Action {
	i := slices.IndexFunc(t.waiting, func(w *waiting) bool { return w.id == m.Request })
	if i < 0 {
		if r := t.running[m.Request]; r != nil && r.permit {
			return out // a renewal
		}
		// The request gave up meanwhile: the permit goes back.
		if len(m.Fingerprints) == 0 {
			return out
		}
		return t.toOwner(now, Message{Kind: Done, Request: m.Request, Fingerprints: m.Fingerprints}, t.find(&m.Fingerprints[0]), out)
	}
	w := t.waiting[i]
	if s := t.find(&w.print); t.held(now, s) || !w.asked {
		// A crash became known after the request asked; it asks again later.
		w.asked = false
		return t.toOwner(now, Message{Kind: Done, Request: w.id, Fingerprints: []Fingerprint{w.print}}, s, out)
	}
	t.waiting = slices.Delete(t.waiting, i, i+1)
	t.running[w.id] = &running{print: w.print, permit: true, renewed: now}
	return append(out, Action{Kind: Allow, Request: w.id, Avoid: t.avoid()})
}

// avoid returns the upstreams that run other suspects of this VM.
func (t *Tracker) avoid() []fleet.UpstreamID {
	var ups []fleet.UpstreamID
	for _, r := range t.running {
		if r.permit {
			ups = append(ups, r.upstreams...)
		}
	}
	slices.Sort(ups)
	return slices.Compact(ups)
}

// Suspects returns the number of suspicions and how many are quarantined.
func (t *Tracker) Suspects(now time.Time) (suspects, quarantined int) {
	for _, s := range t.suspects {
		if now.Before(s.quarantined) {
			quarantined++
		}
	}
	return len(t.suspects), quarantined
}

func (t *Tracker) find(f *Fingerprint) *suspect {
	for _, s := range t.suspects {
		if s.print.Similar(f) {
			return s
		}
	}
	return nil
}

func (t *Tracker) forget(s *suspect) {
	t.suspects = slices.DeleteFunc(t.suspects, func(o *suspect) bool { return o == s })
}

// ownerOf returns the VM with the highest rendezvous hash for the key.
func (t *Tracker) ownerOf(key string) fleet.VMID {
	best, owner := uint64(0), t.self
	for _, vm := range t.vms {
		if h := xxhash.Sum64String(key + "\x00" + string(vm)); h >= best {
			best, owner = h, vm
		}
	}
	return owner
}
