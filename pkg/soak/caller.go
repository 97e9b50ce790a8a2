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
	// deadline is how long callers wait for a plain answer, streamDeadline for a stream.
	deadline       = 3 * time.Second
	streamDeadline = 20 * time.Second
	// late is how long after its deadline a request may still be without an end, for a
	// caller that did not give up; the machine may be busy.
	late = time.Second
	// patience is the longest gap between events that a caller accepts.
	patience = 2 * time.Second
	// addressesKept is how long callers keep an answer of the directory.
	addressesKept = 2 * time.Second
)

// caller sends one request after the other, on connections that it keeps open.
type caller struct {
	w         *World
	index     int
	random    *rand.Rand
	client    *http.Client
	addresses []string
	asked     time.Time
	sent      int
}

func newCaller(w *World, index int) *caller {
	return &caller{
		w: w, index: index, random: rand.New(rand.NewPCG(w.options.Seed, uint64(index)+2)),
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 12 * time.Second,
		}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	c.w.sleep(ctx, settle/2)
	for ctx.Err() == nil {
		address := c.address(ctx)
		if address == "" {
			c.w.sleep(ctx, 200*time.Millisecond)
			continue
		}
		c.request(ctx, address)
		c.w.sleep(ctx, time.Duration(c.random.IntN(60))*time.Millisecond)
	}
}

// address returns a front address as the directory says, which is asked anew now and
// then; an older answer goes on while no VM answers.
func (c *caller) address(ctx context.Context) string {
	if time.Since(c.asked) > addressesKept || len(c.addresses) == 0 {
		for range 3 {
			v := c.w.vms[c.random.IntN(len(c.w.vms))]
			if list := c.ask(ctx, v); len(list) > 0 {
				c.addresses, c.asked = list, time.Now()
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.random.IntN(len(c.addresses))]
}

func (c *caller) ask(ctx context.Context, v *VM) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, userplatform.DirectoryURL(v.Directory), nil)
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

// answer is what a caller got.
type answer struct {
	id     string
	kind   string
	vm     *VM
	key    string
	sent   time.Time
	took   time.Duration
	status int
	header http.Header
	body   []byte
	// whole is set when the answer ended as a whole one.
	whole bool
	err   error
	// first is the event that the caller had before.
	first int
	want  string
}

// request sends one request and has its answer checked.
func (c *caller) request(ctx context.Context, address string) {
	c.sent++
	c.w.mu.Lock()
	key := c.w.keys[len(c.w.keys)-1]
	if c.random.IntN(2) == 0 {
		key = c.w.keys[0]
	}
	c.w.mu.Unlock()
	a := answer{id: fmt.Sprintf("c%d-%d-%d", c.w.options.Seed, c.index, c.sent), key: key, kind: []string{"book", "look", "gen"}[c.random.IntN(3)]}
	for _, v := range c.w.vms {
		if v.Front == address {
			a.vm = v
		}
	}
	limit, method := deadline, http.MethodPost
	body := fmt.Sprintf("body of %s", a.id)
	switch a.kind {
	case "gen":
		limit = streamDeadline
		a.first = c.random.IntN(2) * c.random.IntN(events/2)
	case "look":
		method = http.MethodGet
		body = ""
	}
	path := "/" + a.kind + "/x%2f?q=" + a.id
	a.want = userplatform.PlainBody(method, path, "team", body)
	ctx, cancel := context.WithTimeout(ctx, limit+2*time.Second)
	defer cancel()
	if c.random.IntN(25) == 0 { // some callers leave
		time.AfterFunc(time.Duration(c.random.IntN(500))*time.Millisecond, cancel)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return
	}
	r.GetBody = nil // the client must not send a request again by itself
	userplatform.CallerRequest{ID: a.id, Key: key, Deadline: limit, LastEvent: a.first}.Sign(r)
	a.sent = time.Now()
	resp, err := c.client.Do(r)
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		a.body, err = c.read(ctx, cancel, resp.Body, a.kind == "gen")
		_ = resp.Body.Close() // read to its end or given up
	}
	a.took, a.err, a.whole = time.Since(a.sent), err, err == nil
	c.w.checker.check(&a, limit, ctx.Err() != nil)
}

// read reads a body; a stream is given up after a gap between its events.
func (c *caller) read(ctx context.Context, cancel context.CancelFunc, body io.Reader, stream bool) ([]byte, error) {
	if !stream {
		return io.ReadAll(body)
	}
	var all bytes.Buffer
	buffer := make([]byte, 4096)
	timer := time.AfterFunc(patience, cancel)
	defer timer.Stop()
	for {
		n, err := body.Read(buffer)
		all.Write(buffer[:n])
		timer.Reset(patience)
		if err == io.EOF {
			return all.Bytes(), nil
		}
		if err != nil {
			return all.Bytes(), err
		}
	}
}
