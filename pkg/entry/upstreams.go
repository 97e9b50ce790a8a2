package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/settings"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// serviceClients keeps one client for each server and path, so that calls of
// repeatable routes share its connections.
type serviceClients struct {
	client  *http.Client
	mu      sync.Mutex
	clients map[serviceKey]upstream.Service
}

type serviceKey struct {
	id            fleet.UpstreamID
	address, path string
}

func newServiceClients(client *http.Client) *serviceClients {
	return &serviceClients{client: client, clients: map[serviceKey]upstream.Service{}}
}

// get returns the client of a server for a path.
func (c *serviceClients) get(id fleet.UpstreamID, address, path string) upstream.Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := serviceKey{id, address, path}
	service, ok := c.clients[key]
	if !ok {
		service = upstream.NewHTTPService(id, address, path, c.client)
		c.clients[key] = service
	}
	return service
}

// cachePollFactor is how many state polls go to one poll of the cache events, which
// come late anyway. Polls are most of an idle VM's processor time: with both kinds
// twice a second, 40 engines cost more than the 3.5% of a core for control.
const cachePollFactor = 4

// newCondition starts to follow an upstream; an engine's state and cache events
// are polled until the condition is stopped.
func (s *Server) newCondition(id fleet.UpstreamID, view *settings.View) *condition {
	c := &condition{
		id: id, view: view, address: view.Upstream.Address,
		load: new(route.Load), prefixes: new(route.PrefixTable), stageScale: 1,
	}
	ctx, cancel := context.WithCancel(s.running)
	c.stop = cancel
	if !c.isEngine() {
		return c
	}
	c.engine = upstream.NewHTTPEngine(id, c.address, s.client, upstream.WithSilence(view.Upstreams.Silence))
	s.watchers.Go(func() { s.pollState(ctx, id, c.engine, view.Upstreams.StatePoll) })
	s.watchers.Go(func() { pollCache(ctx, c.engine, c.prefixes, cachePollFactor*view.Upstreams.StatePoll) })
	return c
}

// pollState reads an engine's state until ctx ends.
func (s *Server) pollState(ctx context.Context, id fleet.UpstreamID, engine upstream.Engine, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		asked := time.Now()
		state, err := engine.State(ctx)
		if ctx.Err() != nil {
			return
		}
		s.control.reported(id, asked, state, err)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollCache follows an engine's cache events until ctx ends. After a gap the
// table starts anew, because dropped prefixes may have been missed.
func pollCache(ctx context.Context, engine upstream.Engine, table *route.PrefixTable, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var next uint64
	for {
		batch, err := engine.CacheEvents(ctx, next)
		if err == nil {
			next = applyCacheEvents(batch, next, table)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyCacheEvents books a page of events and returns where the next one begins.
func applyCacheEvents(batch upstream.CacheEventBatch, next uint64, table *route.PrefixTable) uint64 {
	if batch.Next < next {
		table.Reset() // the engine restarted and counts anew
	}
	for _, e := range batch.Events {
		if e.Dropped {
			table.Drop(e.PrefixHash)
		} else {
			table.Add(e.PrefixHash)
		}
	}
	return batch.Next
}

// probe asks an upstream for an answer over a new connection. An error status is
// an answer too.
func (s *Server) probe(ctx context.Context, c *condition) error {
	if !c.isEngine() {
		return dial(ctx, c)
	}
	_, err := c.engine.Progress(ctx, "probe")
	var e *upstream.Error
	if errors.As(err, &e) && e.Status != 0 {
		return nil
	}
	return err
}

// dial opens a connection to a server of a plain service, which has no probe of its own.
func dial(ctx context.Context, c *condition) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return &upstream.Error{Upstream: c.id, Err: err}
	}
	return conn.Close()
}
