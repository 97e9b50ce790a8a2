// Package catalog holds one version of the operator's configuration: routes, services and
// team keys, indexed for look-ups by request goroutines. A Catalog is immutable after New
// and safe for concurrent use.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Repeat says whether a request may run more than once.
type Repeat uint8

// Kinds of repetition.
const (
	// Once: the request may run at most once per attempt of the caller.
	Once Repeat = iota
	// Repeatable: the request may run more than once.
	Repeatable
	// Stream: the answer is a sequence of numbered events; Route.Resumable says
	// whether another run may continue it.
	Stream
)

// String returns the name of the kind in metrics and logs.
func (r Repeat) String() string { return [...]string{"once", "repeatable", "stream"}[r] }

// ServiceID identifies a service.
type ServiceID string

// Target is one service of a route and its share of the route's requests.
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
	// Timeout is the longest time that a caller waits for the answer; 0 means no limit.
	Timeout time.Duration
	// Objective is the target time to the answer or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that still counts as
	// on time.
	GapObjective time.Duration
	// Rank is 0 for the most urgent work.
	Rank int
	// Targets has at least one entry.
	Targets []Target
	// MaxAttempts is the highest number of servers to which one attempt of a caller is sent.
	MaxAttempts int
	// Public routes need no key.
	Public    bool
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Repeat == Repeatable || r.Repeat == Stream && r.Resumable
}

// Card is a type of accelerator. Its factors are relative to a reference card of factor 1.
type Card struct {
	Name string
	// MemoryMB is the memory for layers and the KV caches of requests.
	MemoryMB float64
	// StepFactor multiplies the time of token steps.
	StepFactor float64
	// PrefillFactor multiplies the time of the prefill.
	PrefillFactor float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Model string
	// Slots is the number of requests that a server accepts as the first server of their
	// chains.
	Slots int
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the size of one layer.
	LayerMB float64
	// KVBytesPerToken is the size of a token's KV cache over all layers.
	KVBytesPerToken float64
	// Step is the fixed part of the time of one token step, over all layers on a card of
	// factor 1.
	Step time.Duration
	// StepPerRequest is added to Step for each request in the batch.
	StepPerRequest time.Duration
	// StepPerThousandTokens is added to Step for every thousand tokens in the contexts of
	// the requests in the batch.
	StepPerThousandTokens time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens per second in the prefill, over all
	// layers on a card of factor 1.
	PrefillTokensPerSecond float64
	// PrefillChunk is the largest number of prompt tokens that an engine reads in one token
	// step, between the steps of other requests; 0 if it is not known.
	PrefillChunk int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// FullSpeedLoads is the number of simultaneous loads above which each of them is slower.
	FullSpeedLoads int
	// ActivationBytes is the number of bytes sent per token from one server of a chain to
	// the next.
	ActivationBytes float64
	// PipeBytesPerSecond is the network capacity between two data centres.
	PipeBytesPerSecond float64
	// MeanPromptTokens is the mean number of prompt tokens of a request.
	MeanPromptTokens float64
	// MeanAnswerTokens is the mean number of answer tokens of a request.
	MeanAnswerTokens float64
	// Cards maps the names of cards to their properties.
	Cards map[string]Card
}

// Service is a service of the configuration.
type Service struct {
	ID             ServiceID
	HealthPath     string
	MaxConnections int
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Team is a team with its keys.
type Team struct {
	ID   fleet.TeamID
	Keys []string
	// Rank overrides the rank of the route; nil keeps the route's.
	Rank *int
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the longest time to receive a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection stays open without a request.
	IdleTimeout time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  uint64
	Services map[ServiceID]*Service
	Limits   Limits
	// NeedsKey is set when the configuration has teams, so that requests must carry a key.
	NeedsKey     bool
	routesByHost map[string][]*Route // longest prefix first
	teamsByKey   map[string]*Team
}

// New compiles a configuration.
func New(version uint64, routes []Route, services []Service, teams []Team, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits, NeedsKey: len(teams) > 0,
		Services:     make(map[ServiceID]*Service, len(services)),
		routesByHost: make(map[string][]*Route), teamsByKey: make(map[string]*Team),
	}
	for i := range services {
		c.Services[services[i].ID] = &services[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routesByHost[host] = append(c.routesByHost[host], &routes[i])
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range teams {
		for _, key := range teams[i].Keys {
			c.teamsByKey[key] = &teams[i]
		}
	}
	return c
}

// Route returns the route of a host whose prefix is the longest that matches the path, or
// nil if there is none. A port in host is ignored unless a route names it.
func (c *Catalog) Route(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := c.routesByHost[host]
	if !ok {
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil
		}
		list = c.routesByHost[name]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that a key belongs to, or nil if there is none.
func (c *Catalog) Team(key string) *Team { return c.teamsByKey[key] }

// Pick returns the service of one of the targets, chosen in proportion to their weights.
// point is a number in [0, 1).
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
