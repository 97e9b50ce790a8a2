package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// permit lets one request of a key run at a time. It is kept by the key's owner.
type permit struct {
	key     string
	holder  Message // the Want that holds it
	expires time.Time
	queue   []Message
}

// keyOf returns what a suspect shares its permit with: near-identical bodies, or
// once it was present at a second crash all suspects that were. Those run one
// after another in the whole fleet, so that a third crash has only one of them.
func keyOf(s *suspect, f *Fingerprint) string {
	if s != nil && len(s.crashes) > 1 {
		return "again"
	}
	if s != nil {
		f = &s.print
	}
	return "print/" + string(f.Team) + "/" + string(f.Model) + "/" + strconv.FormatUint(f.Exact, 16)
}

// toOwner hands a message to the owner of the suspect's key, which may be this VM.
func (t *Tracker) toOwner(now time.Time, m Message, s *suspect, out []Action) []Action {
	m.From = t.self
	m.To = t.ownerOf(keyOf(s, &m.Fingerprints[0]))
	if m.To == t.self {
		return t.owner(now, m, out)
	}
	return append(out, Action{Kind: Send, Message: m})
}

// owner handles Want and Done for keys that this VM owns.
func (t *Tracker) owner(now time.Time, m Message, out []Action) []Action {
	if len(m.Fingerprints) == 0 {
		return out
	}
	if m.Kind == Done {
		return t.returned(now, m, out)
	}
	key := keyOf(t.find(&m.Fingerprints[0]), &m.Fingerprints[0])
	i := slices.IndexFunc(t.permits, func(p *permit) bool { return p.key == key })
	if i < 0 {
		t.permits = append(t.permits, &permit{key: key})
		i = len(t.permits) - 1
	}
	p := t.permits[i]
	if p.holder.Request == m.Request {
		p.expires = now.Add(t.cfg.PermitFor)
		return out
	}
	if !slices.ContainsFunc(p.queue, func(q Message) bool { return q.Request == m.Request }) {
		p.queue = append(p.queue, m)
	}
	return t.grantNext(now, p, out)
}

// returned frees the permit of a request, under whatever key it was granted.
func (t *Tracker) returned(now time.Time, m Message, out []Action) []Action {
	for _, p := range slices.Clone(t.permits) {
		p.queue = slices.DeleteFunc(p.queue, func(q Message) bool { return q.Request == m.Request })
		if p.holder.Request == m.Request {
			p.holder = Message{}
			out = t.grantNext(now, p, out)
		}
	}
	return out
}

// grantNext gives a free permit to the first in its queue. Requests whose suspect
// was present at a further crash since they asked are dropped; they ask again.
func (t *Tracker) grantNext(now time.Time, p *permit, out []Action) []Action {
	p.queue = slices.DeleteFunc(p.queue, func(q Message) bool {
		s := t.find(&q.Fingerprints[0])
		return t.held(now, s) || keyOf(s, &q.Fingerprints[0]) != p.key
	})
	if p.holder.Request != "" || len(p.queue) == 0 || now.Before(t.graceTo) {
		return out
	}
	p.holder = p.queue[0]
	p.queue = slices.Delete(p.queue, 0, 1)
	p.expires = now.Add(t.cfg.PermitFor)
	grant := Message{Kind: Grant, From: t.self, To: p.holder.From, Request: p.holder.Request, Fingerprints: p.holder.Fingerprints}
	if grant.To == t.self {
		return t.granted(now, grant, out)
	}
	return append(out, Action{Kind: Send, Message: grant})
}

// tickPermits takes back permits that were not renewed and drops idle ones.
func (t *Tracker) tickPermits(now time.Time, out []Action) []Action {
	for _, p := range slices.Clone(t.permits) {
		if p.holder.Request != "" && now.After(p.expires) {
			p.holder = Message{}
		}
		out = t.grantNext(now, p, out)
	}
	t.permits = slices.DeleteFunc(t.permits, func(p *permit) bool { return p.holder.Request == "" && len(p.queue) == 0 })
	return out
}

// renew asks again for the permits of running requests before they run out. The
// message goes to the present owner, which may be a new one.
func (t *Tracker) renew(now time.Time, out []Action) []Action {
	var due []fleet.RequestID
	for id, r := range t.running {
		if r.permit && now.Sub(r.renewed) >= t.cfg.PermitFor/3 {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		r := t.running[id]
		r.renewed = now
		out = t.toOwner(now, Message{Kind: Want, Request: id, Fingerprints: []Fingerprint{r.print}}, t.find(&r.print), out)
	}
	return out
}
