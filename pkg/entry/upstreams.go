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

// serviceClients keeps one client for each server and path, so that the calls of
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

// cachePollFactor is the interval between two polls of the cache events as a multiple of
// that between two polls of the state. Cache events arrive late anyway, and polls use
// most of an idle VM's CPU time: with both polled twice a second, 40 engines exceed the
// 3.5% of a core that is allowed for control.
const cachePollFactor = 4

// newTrackedUpstream starts tracking an upstream. An engine's state and cache events
// are polled until its stop function is called.
func (s *Server) newTrackedUpstream(id fleet.UpstreamID, view *settings.View) *trackedUpstream {
	u := &trackedUpstream{
		id: id, view: view, address: view.Upstream.Address,
		load: new(route.Load), prefixes: new(route.PrefixTable), stageScale: 1,
	}
	ctx, cancel := context.WithCancel(s.runCtx)
	u.stop = cancel
	if !u.isEngine() {
		return u
	}
	u.engine = upstream.NewHTTPEngine(id, u.address, s.client, upstream.WithSilenceTimeout(view.Upstreams.Silence))
	s.watchers.Go(func() { s.pollState(ctx, id, u.engine, view.Upstreams.StatePoll) })
	s.watchers.Go(func() { pollCacheEvents(ctx, u.engine, u.prefixes, cachePollFactor*view.Upstreams.StatePoll) })
	return u
}

// pollState polls an engine's state until ctx is cancelled.
func (s *Server) pollState(ctx context.Context, id fleet.UpstreamID, engine upstream.Engine, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		asked := time.Now()
		state, err := engine.State(ctx)
		if ctx.Err() != nil {
			return
		}
		s.control.recordEngineState(id, asked, state, err)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollCacheEvents polls an engine's cache events until ctx is cancelled. When the
// sequence numbers start again, the table is reset, because dropped prefixes may have
// been missed.
func pollCacheEvents(ctx context.Context, engine upstream.Engine, table *route.PrefixTable, interval time.Duration) {
	ticker := time.NewTicker(interval)
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

// applyCacheEvents applies a page of events to the table and returns the sequence
// number at which the next page begins.
func applyCacheEvents(batch upstream.CacheEventBatch, next uint64, table *route.PrefixTable) uint64 {
	if batch.Next < next {
		table.Reset() // the engine restarted and numbers its events from the start
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

// probe checks over a new connection whether an upstream answers. For an engine, an
// error status counts as an answer; for a server of a plain service, an accepted
// connection does.
func (s *Server) probe(ctx context.Context, u *trackedUpstream) error {
	if !u.isEngine() {
		return dialService(ctx, u)
	}
	_, err := u.engine.Progress(ctx, "probe")
	var e *upstream.Error
	if errors.As(err, &e) && e.Status != 0 {
		return nil
	}
	return err
}

// dialService opens a connection to a server of a plain service, which has no endpoint
// for probes.
func dialService(ctx context.Context, u *trackedUpstream) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.address)
	if err != nil {
		return &upstream.Error{Upstream: u.id, Err: err}
	}
	return conn.Close()
}
