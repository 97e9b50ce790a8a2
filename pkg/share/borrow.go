package share

import (
	"cmp"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// minGrant is the smallest part of a rate worth a grant.
const minGrant = 0.001

// renew asks the lender of the oldest grants for them again.
func (l *Ledger) renew() {
	var lender fleet.VMID
	var oldest grant
	for _, name := range l.names {
		for from, g := range l.resources[name].borrowed {
			if l.now.Sub(g.asked) < RenewAfter {
				continue
			}
			if lender == "" || g.asked.Before(oldest.asked) || g.asked.Equal(oldest.asked) && from < lender {
				lender, oldest = from, g
			}
		}
	}
	if lender == "" {
		return
	}
	var wants []Want
	for _, name := range l.names {
		r := l.resources[name]
		g, ok := r.borrowed[lender]
		if ok && l.now.Sub(g.asked) >= RenewAfter && len(wants) < MaxWants {
			wants = append(wants, l.want(name, r, lender))
		}
	}
	l.ask(oldest.lender, wants)
}

func (l *Ledger) want(name string, r *resource, lender fleet.VMID) Want {
	own := max(0, l.base(l.now, r)-r.outstanding(l.now, ""))
	return Want{Resource: name, Demand: r.demand, Part: own + r.borrowedExcept(l.now, lender)}
}

// explore asks another VM for the resources that this VM lacks most: in turn a
// holder of its data centre and another data centre.
func (l *Ledger) explore() {
	needy := l.needy()
	if len(needy) == 0 {
		return
	}
	l.turn++
	to := l.localLender(needy[0])
	if to == "" || l.turn%2 == 0 && len(l.place.Remotes) > 0 {
		to = l.remoteLender()
	}
	if to == "" {
		return
	}
	var wants []Want
	for _, name := range needy[:min(len(needy), MaxWants)] {
		r := l.resources[name]
		if !r.lends(to) {
			wants = append(wants, l.want(name, r, ""))
		}
	}
	l.ask(to, wants)
}

// lends reports whether a VM is a lender of the resource already; renew asks it.
func (r *resource) lends(address string) bool {
	for _, g := range r.borrowed {
		if g.lender == address {
			return true
		}
	}
	return false
}

// needy returns the resources of which this VM has too little, the worst first.
func (l *Ledger) needy() []string {
	type need struct {
		name  string
		ratio float64
	}
	var needs []need
	for _, name := range l.names {
		r := l.resources[name]
		part := l.Part(l.now, name)
		if r.demand > needRatio*part && r.demand > 0 {
			needs = append(needs, need{name, r.demand / (part + minGrant*r.rate)})
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(b.ratio, a.ratio) })
	names := make([]string, len(needs))
	for i, n := range needs {
		names[i] = n.name
	}
	return names
}

func (l *Ledger) localLender(name string) string {
	holders := slices.Clone(l.holders(name))
	holders = slices.DeleteFunc(holders, func(h Holder) bool { return h.ID == l.self })
	if len(holders) == 0 {
		return ""
	}
	return holders[l.rand.IntN(len(holders))].Address
}

func (l *Ledger) remoteLender() string {
	if len(l.place.Remotes) == 0 {
		return ""
	}
	return l.place.Remotes[l.rand.IntN(len(l.place.Remotes))].Contact
}

func (l *Ledger) ask(to string, wants []Want) {
	if len(wants) == 0 || to == "" {
		return
	}
	l.sequence++
	l.asked[l.sequence] = l.now
	l.actions = append(l.actions, Send{to, &Ask{
		Borrower: l.self, Address: l.address, Sequence: l.sequence, Wants: wants,
	}})
}

// lend answers an Ask. Between lender and borrower the parts become
// proportional to the demands, except for the lender's reserve.
func (l *Ledger) lend(a *Ask) {
	var amounts []Amount
	var elsewhere []Want
	for _, w := range a.Wants {
		r := l.resources[w.Resource]
		if r == nil || a.Borrower == l.self {
			continue
		}
		if !r.holder && !a.Forwarded {
			elsewhere = append(elsewhere, w)
			continue
		}
		if x := l.amount(r, a.Borrower, w); x > minGrant*r.rate {
			r.lent[a.Borrower] = append(r.lent[a.Borrower], grant{rate: x, until: l.now.Add(GrantTime)})
			amounts = append(amounts, Amount{w.Resource, x})
		}
	}
	if len(amounts) > 0 {
		l.actions = append(l.actions, Send{a.Address, &Grant{
			Lender: l.self, Address: l.address, Sequence: a.Sequence, Amounts: amounts,
		}})
	}
	l.forward(a, elsewhere)
}

// amount returns how much to lend of a resource. Only the base part is lent:
// a borrowed one must not outlive its own grant.
func (l *Ledger) amount(r *resource, borrower fleet.VMID, w Want) float64 {
	base := l.base(l.now, r)
	pool := base - r.outstanding(l.now, borrower)
	if w.Demand <= 0 || pool <= 0 {
		return 0
	}
	own := pool + r.borrowedExcept(l.now, "")
	x := (own*w.Demand - w.Part*r.demand) / (r.demand + w.Demand)
	// A part beyond the demand would be idle at the borrower.
	x = min(x, w.Demand/needRatio-w.Part)
	return max(0, min(x, pool-reserve*base))
}

// forward passes an Ask on to a holder of its first resource.
func (l *Ledger) forward(a *Ask, wants []Want) {
	if len(wants) == 0 {
		return
	}
	to := l.localLender(wants[0].Resource)
	if to == "" {
		return
	}
	passed := *a
	passed.Forwarded, passed.Wants = true, wants
	l.actions = append(l.actions, Send{to, &passed})
}

// accept takes a Grant in. A grant that comes after its time, or that answers
// no request of this start of the VM, is void.
func (l *Ledger) accept(g *Grant) {
	asked, ok := l.asked[g.Sequence]
	if !ok {
		return
	}
	until := asked.Add(GrantTime)
	if !l.now.Before(until) {
		return
	}
	for _, a := range g.Amounts {
		r := l.resources[a.Resource]
		if r == nil || asked.Before(r.borrowed[g.Lender].asked) {
			continue
		}
		r.borrowed[g.Lender] = grant{rate: a.Rate, until: until, asked: asked, lender: g.Address}
	}
}
