package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// permit lets one request of a key run at a time in the whole fleet. The owner VM of the
// key keeps it.
type permit struct {
	key     string
	holder  Message // the PermitRequest that holds the permit; its Request is empty when free
	expires time.Time
	queue   []Message // PermitRequests that wait
}

// permitKey returns the key of the permit that a request needs. Near-identical bodies share
// a permit. All suspects that were present at two or more crashes share a single permit:
// they run one after another in the whole fleet, so that at most one of them is present at a
// third crash.
func permitKey(s *suspect, f *Fingerprint) string {
	if s != nil && len(s.crashes) > 1 {
		return "again"
	}
	if s != nil {
		f = &s.print
	}
	return "print/" + string(f.Team) + "/" + string(f.Model) + "/" + strconv.FormatUint(f.BodyHash, 16)
}

// sendToOwner passes a message to the owner of the permit that the request needs. The owner
// may be this VM.
func (t *Tracker) sendToOwner(now time.Time, m Message, s *suspect, out []Action) []Action {
	m.From = t.self
	m.To = t.ownerOf(permitKey(s, &m.Fingerprints[0]))
	if m.To == t.self {
		return t.handleAsOwner(now, m, out)
	}
	return append(out, Action{Kind: Send, Message: m})
}

// vmsBefore returns the number of other VMs that come before this one for a key.
func (t *Tracker) vmsBefore(key string) int {
	return fleet.CountBefore(key, t.self, slices.Values(t.vms))
}

// handleAsOwner handles a PermitRequest or PermitRelease for a key that this VM owns.
func (t *Tracker) handleAsOwner(now time.Time, m Message, out []Action) []Action {
	if len(m.Fingerprints) == 0 {
		return out
	}
	if m.Kind == PermitRelease {
		return t.releasePermit(now, m, out)
	}
	key := permitKey(t.findSuspect(&m.Fingerprints[0]), &m.Fingerprints[0])
	i := slices.IndexFunc(t.permits, func(p *permit) bool { return p.key == key })
	if i < 0 {
		t.permits = append(t.permits, &permit{key: key})
		i = len(t.permits) - 1
	}
	p := t.permits[i]
	if p.holder.Request == m.Request {
		p.expires = now.Add(t.cfg.PermitDuration)
		return t.sendGrant(now, p, out) // the first one may be lost
	}
	if !slices.ContainsFunc(p.queue, func(q Message) bool { return q.Request == m.Request }) {
		p.queue = append(p.queue, m)
	}
	return t.grantNext(now, p, out)
}

// releasePermit frees the permits that a request holds and removes it from all queues. It
// checks all keys, because the request's key may have changed since the permit was granted.
func (t *Tracker) releasePermit(now time.Time, m Message, out []Action) []Action {
	for _, p := range slices.Clone(t.permits) {
		p.queue = slices.DeleteFunc(p.queue, func(q Message) bool { return q.Request == m.Request })
		if p.holder.Request == m.Request {
			p.holder = Message{}
			out = t.grantNext(now, p, out)
		}
	}
	return out
}

// grantNext grants a free permit to the first request in its queue. It first removes the
// requests whose suspect was present at another crash since they were queued and now needs
// a different permit or must not run; their VMs request a permit again.
func (t *Tracker) grantNext(now time.Time, p *permit, out []Action) []Action {
	p.queue = slices.DeleteFunc(p.queue, func(q Message) bool {
		s := t.findSuspect(&q.Fingerprints[0])
		return t.isBlocked(now, s) || permitKey(s, &q.Fingerprints[0]) != p.key
	})
	if p.holder.Request != "" || len(p.queue) == 0 || now.Before(t.noGrantsBefore) {
		return out
	}
	p.holder = p.queue[0]
	p.queue = slices.Delete(p.queue, 0, 1)
	p.expires = now.Add(t.cfg.PermitDuration)
	return t.sendGrant(now, p, out)
}

// sendGrant sends a permit to its holder. A holder that runs ignores it.
func (t *Tracker) sendGrant(now time.Time, p *permit, out []Action) []Action {
	grant := Message{Kind: PermitGrant, From: t.self, To: p.holder.From, Request: p.holder.Request, Fingerprints: p.holder.Fingerprints}
	if grant.To == t.self {
		return t.handleGrant(now, grant, out)
	}
	return append(out, Action{Kind: Send, Message: grant})
}

// expirePermits revokes permits that were not renewed in time, grants free ones and deletes
// permits without holder and queue.
func (t *Tracker) expirePermits(now time.Time, out []Action) []Action {
	for _, p := range slices.Clone(t.permits) {
		if p.holder.Request != "" && now.After(p.expires) {
			p.holder = Message{}
		}
		out = t.grantNext(now, p, out)
	}
	t.permits = slices.DeleteFunc(t.permits, func(p *permit) bool { return p.holder.Request == "" && len(p.queue) == 0 })
	return out
}

// renewPermits renews the permits of running requests before they expire. The message goes
// to the current owner, which may have changed since the permit was granted.
func (t *Tracker) renewPermits(now time.Time, out []Action) []Action {
	var due []fleet.RequestID
	for id, r := range t.running {
		if r.hasPermit && now.Sub(r.renewedAt) >= t.cfg.PermitDuration/3 {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		r := t.running[id]
		r.renewedAt = now
		out = t.sendToOwner(now, Message{Kind: PermitRequest, Request: id, Fingerprints: []Fingerprint{r.print}}, t.findSuspect(&r.print), out)
	}
	return out
}
