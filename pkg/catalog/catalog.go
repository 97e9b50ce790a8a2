// Package catalog holds one version of the operator's configuration: routes,
// services and the keys of teams, compiled for look-ups by request goroutines.
// It is pure and immutable after New.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Repeat says what may be repeated of a request.
type Repeat uint8

// The kinds of repetition.
const (
	// Once: the request may run at most once for each attempt of the caller.
	Once Repeat = iota
	// Repeatable: the request may run more than once.
	Repeatable
	// Stream: the answer is a sequence of numbered events; Route.Resumable says
	// whether another run may continue it.
	Stream
)

// String returns the kind's name, as metrics and logs spell it.
func (r Repeat) String() string { return [...]string{"once", "repeatable", "stream"}[r] }

// ServiceID identifies a service.
type ServiceID string

// Target is one service of a route with its share of the requests.
type Target struct {
	Service ServiceID
	Weight  float64
}

// Route is a compiled route.
type Route struct {
	ID     fleet.RouteID
	Host   string
	Prefix string
	Repeat Repeat
	// Timeout is the longest time that a caller is kept waiting; 0 means no limit.
	Timeout time.Duration
	// Objective is the time in which an answer (the first event of a stream) is on time.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that is on time.
	GapObjective time.Duration
	// Rank is 0 for the most urgent work.
	Rank int
	// Targets has at least one entry.
	Targets []Target
	// Attempts is the number of servers to which one attempt of a caller may be sent.
	Attempts int
	// Public routes need no key.
	Public    bool
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Repeat == Repeatable || r.Repeat == Stream && r.Resumable
}

// Card is a kind of accelerator.
type Card struct {
	Name string
	// MemoryMB holds layers and the KV cache of requests.
	MemoryMB float64
	// StepFactor multiplies the time of token steps, ReadFactor that of reading prompts.
	StepFactor float64
	ReadFactor float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Model string
	// Slots is the number of requests that a server takes as the first of a chain.
	Slots  int
	Layers int
	// LayerMB is the size of one layer.
	LayerMB float64
	// KVBytesPerToken is the KV cache of a token over all layers.
	KVBytesPerToken float64
	// Step, StepPerRequest and StepPerThousandTokens are the times of one token step
	// over all layers on a card of factor 1: fixed, for each request in the batch,
	// and for each thousand tokens of their contexts.
	Step                  time.Duration
	StepPerRequest        time.Duration
	StepPerThousandTokens time.Duration
	// ReadPerSecond is the rate at which a card of factor 1 reads prompt tokens.
	ReadPerSecond float64
	// Stride is the number of tokens in one event of a stream.
	Stride int
	// Load is the time to load all layers.
	Load time.Duration
	// LoadsAtOnce is the number of loads after which each takes longer.
	LoadsAtOnce int
	// ActivationBytes is sent for each token between the servers of a chain.
	ActivationBytes float64
	// PipeBytesPerSecond is the capacity between two data centres.
	PipeBytesPerSecond float64
	// UsualPrompt and UsualAnswer are the mean tokens of a request.
	UsualPrompt float64
	UsualAnswer float64
	Cards       map[string]Card
}

// Service is a service of the configuration.
type Service struct {
	ID             ServiceID
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Team is a team with its keys.
type Team struct {
	ID   fleet.TeamID
	Keys []string
	// Rank replaces the rank of the route; nil leaves it.
	Rank *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	Header      time.Duration
	Idle        time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  uint64
	Services map[ServiceID]*Service
	Limits   Limits
	// NeedsKey is set when the configuration names teams.
	NeedsKey bool
	hosts    map[string][]*Route // longest prefix first
	teams    map[string]*Team    // by key
}

// New compiles a configuration.
func New(version uint64, routes []Route, services []Service, teams []Team, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits, NeedsKey: len(teams) > 0,
		Services: make(map[ServiceID]*Service, len(services)),
		hosts:    make(map[string][]*Route), teams: make(map[string]*Team),
	}
	for i := range services {
		c.Services[services[i].ID] = &services[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.hosts[host] = append(c.hosts[host], &routes[i])
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range teams {
		for _, key := range teams[i].Keys {
			c.teams[key] = &teams[i]
		}
	}
	return c
}

// Route returns the route with the longest prefix that begins the path, nil when
// there is none.
func (c *Catalog) Route(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := c.hosts[host]
	if !ok {
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil
		}
		list = c.hosts[name]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key, nil when none does.
func (c *Catalog) Team(key string) *Team { return c.teams[key] }

// Pick returns the target of a split for a number in [0, 1).
func (r *Route) Pick(point float64) ServiceID {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point *= total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[0].Service
}
