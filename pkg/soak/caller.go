package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

const (
	// plainDeadline is the deadline of requests with a plain answer.
	plainDeadline = 3 * time.Second
	// streamDeadline is the deadline of requests with a streamed answer.
	streamDeadline = 20 * time.Second
	// deadlineTolerance is how long after its deadline a request may end without a
	// violation, because the machine may be busy.
	deadlineTolerance = time.Second
	// maxEventGap is the longest gap between two events of a stream after which a caller
	// still waits for the next one.
	maxEventGap = 2 * time.Second
	// addressMaxAge is the age up to which callers use a cached answer of the directory.
	addressMaxAge = 2 * time.Second
)

// caller sends requests one after another over persistent connections.
type caller struct {
	world              *World
	index              int
	random             *rand.Rand
	client             *http.Client
	addresses          []string
	addressesFetchedAt time.Time
	requestCount       int
}

func newCaller(w *World, index int) *caller {
	return &caller{
		world: w, index: index, random: rand.New(rand.NewPCG(w.options.Seed, uint64(index)+2)),
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 12 * time.Second,
		}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	c.world.sleep(ctx, startupTime/2)
	for ctx.Err() == nil {
		address := c.address(ctx)
		if address == "" {
			c.world.sleep(ctx, 200*time.Millisecond)
			continue
		}
		c.request(ctx, address)
		c.world.sleep(ctx, time.Duration(c.random.IntN(60))*time.Millisecond)
	}
}

// address returns a random front address from the directory, or an empty string if none is
// known. It fetches the list again after addressMaxAge, and keeps the old list while no VM
// answers.
func (c *caller) address(ctx context.Context) string {
	if time.Since(c.addressesFetchedAt) > addressMaxAge || len(c.addresses) == 0 {
		for range 3 {
			v := c.world.vms[c.random.IntN(len(c.world.vms))]
			if list := c.fetchAddresses(ctx, v); len(list) > 0 {
				c.addresses, c.addressesFetchedAt = list, time.Now()
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.random.IntN(len(c.addresses))]
}

// fetchAddresses asks the directory of one VM; it returns nil on any failure.
func (c *caller) fetchAddresses(ctx context.Context, v *VM) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, userplatform.DirectoryURL(v.DirectoryAddress), nil)
	if err != nil {
		return nil
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	return userplatform.DecodeAddresses(resp.Body)
}

// answer describes one request and what the caller received for it.
type answer struct {
	id       string
	kind     string
	vm       *VM
	key      string
	sentAt   time.Time
	duration time.Duration
	status   int
	header   http.Header
	body     []byte
	// complete is true if the body was read to its end without an error.
	complete bool
	err      error
	// lastEvent is the number of the last event that the caller already has.
	lastEvent int
	wantBody  string // expected body of a plain answer
}

// request sends one request and passes its answer to the checker.
func (c *caller) request(ctx context.Context, address string) {
	c.requestCount++
	c.world.mu.Lock()
	key := c.world.keys[len(c.world.keys)-1]
	if c.random.IntN(2) == 0 {
		key = c.world.keys[0]
	}
	c.world.mu.Unlock()
	a := answer{id: fmt.Sprintf("c%d-%d-%d", c.world.options.Seed, c.index, c.requestCount), key: key, kind: []string{"book", "look", "gen"}[c.random.IntN(3)]}
	for _, v := range c.world.vms {
		if v.FrontAddress == address {
			a.vm = v
		}
	}
	timeout, method := plainDeadline, http.MethodPost
	body := fmt.Sprintf("body of %s", a.id)
	switch a.kind {
	case "gen":
		timeout = streamDeadline
		a.lastEvent = c.random.IntN(2) * c.random.IntN(eventsPerStream/2)
	case "look":
		method = http.MethodGet
		body = ""
	}
	path := "/" + a.kind + "/x%2f?q=" + a.id
	a.wantBody = userplatform.PlainBody(method, path, "team", body)
	ctx, cancel := context.WithTimeout(ctx, timeout+2*time.Second)
	defer cancel()
	if c.random.IntN(25) == 0 { // some callers cancel early
		time.AfterFunc(time.Duration(c.random.IntN(500))*time.Millisecond, cancel)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return
	}
	r.GetBody = nil // keeps the HTTP client from resending the body on its own
	userplatform.CallerRequest{ID: a.id, Key: key, Deadline: timeout, LastEvent: a.lastEvent}.SetHeaders(r)
	a.sentAt = time.Now()
	resp, err := c.client.Do(r)
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		a.body, err = c.read(ctx, cancel, resp.Body, a.kind == "gen")
		_ = resp.Body.Close() // the body is complete or abandoned
	}
	a.duration, a.err, a.complete = time.Since(a.sentAt), err, err == nil
	c.world.checker.check(&a, timeout, ctx.Err() != nil)
}

// read reads a body. It cancels a stream if no data arrives for maxEventGap.
func (c *caller) read(ctx context.Context, cancel context.CancelFunc, body io.Reader, stream bool) ([]byte, error) {
	if !stream {
		return io.ReadAll(body)
	}
	var all bytes.Buffer
	buffer := make([]byte, 4096)
	timer := time.AfterFunc(maxEventGap, cancel)
	defer timer.Stop()
	for {
		n, err := body.Read(buffer)
		all.Write(buffer[:n])
		timer.Reset(maxEventGap)
		if err == io.EOF {
			return all.Bytes(), nil
		}
		if err != nil {
			return all.Bytes(), err
		}
	}
}
