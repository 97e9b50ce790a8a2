// Package rehearsal injects faults for drills. They are injected below the HTTP
// clients of upstreams and platform, so the decision code meets the same
// errors, silences and delays as in a real incident and cannot tell them apart.
package rehearsal

import (
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/result"
)

// Fault is the kind of an injected fault.
type Fault string

// The faults that a rehearsal can inject.
const (
	// Refuse refuses every connection, as a host without a listening process does.
	Refuse Fault = "refuse"
	// Stall accepts requests and answers nothing; open streams go silent.
	Stall Fault = "stall"
	// Cut breaks each answer off in the middle of its body.
	Cut Fault = "cut"
	// Slow delays each answer by one second.
	Slow Fault = "slow"
	// LostAnswer carries each request out and loses the answer.
	LostAnswer Fault = "lost_answer"
)

var faults = map[Fault]bool{Refuse: true, Stall: true, Cut: true, Slow: true, LostAnswer: true}

// Target names what a rehearsal hits: an upstream's ID, or one of the platform's services.
type Target string

// LogTarget is the target that stands for the platform's log.
const LogTarget Target = "log"

// Rehearsal is a fault with its bounds.
type Rehearsal struct {
	ID      string        `json:"id"`
	Fault   Fault         `json:"fault"`
	Targets []Target      `json:"targets"`
	Until   time.Time     `json:"until"`
	For     time.Duration `json:"-"`
	Author  string        `json:"author"`
}

// Bounds limits what an operator may rehearse.
type Bounds struct {
	// MaxDuration is the longest rehearsal.
	MaxDuration time.Duration
	// MaxTargets is the largest number of targets that all active rehearsals hit together.
	MaxTargets int
}

// Injector holds the active rehearsals of one VM. It is safe for concurrent use.
type Injector struct {
	now func() time.Time

	mu     sync.Mutex
	active map[string]Rehearsal
	hosts  map[string]Target
}

// NewInjector returns an injector without rehearsals. now gives the time.
func NewInjector(now func() time.Time) *Injector {
	return &Injector{now: now, active: map[string]Rehearsal{}, hosts: map[string]Target{}}
}

// Bind states that a target is reached at host (IP:port).
func (i *Injector) Bind(host string, target Target) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hosts[host] = target
}

// Start begins a rehearsal within the bounds.
func (i *Injector) Start(r Rehearsal, b Bounds) (Rehearsal, error) {
	if err := check(r, b); err != nil {
		return Rehearsal{}, result.New(result.RehearsalBound, result.NotRun, "%v", err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	if n := i.targetCount(r.Targets); n > b.MaxTargets {
		return Rehearsal{}, result.New(result.RehearsalBound, result.NotRun, "%d targets with the active rehearsals: at most %d are allowed", n, b.MaxTargets)
	}
	r.Until = i.now().Add(r.For)
	i.active[r.ID] = r
	return r, nil
}

// Stop ends a rehearsal early and reports whether it was active.
func (i *Injector) Stop(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	_, ok := i.active[id]
	delete(i.active, id)
	return ok
}

// Active returns the rehearsals in force, by ID.
func (i *Injector) Active() []Rehearsal {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	list := make([]Rehearsal, 0, len(i.active))
	for _, r := range i.active {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// faultFor returns the fault in force for a host, "" for none, and when it ends.
func (i *Injector) faultFor(host string) (Fault, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.active) == 0 {
		return "", time.Time{}
	}
	i.expire()
	target, ok := i.hosts[host]
	if !ok {
		return "", time.Time{}
	}
	for _, r := range i.active {
		for _, t := range r.Targets {
			if t == target {
				return r.Fault, r.Until
			}
		}
	}
	return "", time.Time{}
}

func (i *Injector) expire() {
	now := i.now()
	for id, r := range i.active {
		if !now.Before(r.Until) {
			delete(i.active, id)
		}
	}
}

// targetCount returns the number of distinct targets of all active rehearsals and of extra.
func (i *Injector) targetCount(extra []Target) int {
	all := map[Target]bool{}
	for _, r := range i.active {
		for _, t := range r.Targets {
			all[t] = true
		}
	}
	for _, t := range extra {
		all[t] = true
	}
	return len(all)
}

func check(r Rehearsal, b Bounds) error {
	switch {
	case r.ID == "":
		return errors.New("id: missing")
	case !faults[r.Fault]:
		return fmt.Errorf("fault: unknown fault %q", r.Fault)
	case len(r.Targets) == 0:
		return errors.New("targets: want at least one")
	case r.For <= 0 || r.For > b.MaxDuration:
		return fmt.Errorf("duration: want more than 0 and at most %s, got %s", b.MaxDuration, r.For)
	}
	return nil
}
