//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// caller sends single requests, each with an id of its own.
type caller struct {
	client *http.Client
	count  atomic.Int64
	prefix string
}

func newCaller(prefix string) *caller {
	return &caller{prefix: prefix, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
	}}}
}

// answer is what a caller got.
type answer struct {
	id     string
	sentAt time.Time
	status int // 0 for none
	header http.Header
	body   string
	err    error
}

// send sends a request to a VM.
func (c *caller) send(v *vm, method, path, key, body string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%s-%d", c.prefix, c.count.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.GetBody = nil
	userplatform.CallerRequest{ID: a.id, Key: key, Deadline: deadline}.SetHeaders(r)
	resp, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(data), err
	return a
}
