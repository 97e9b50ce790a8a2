// Package answertest has what tests of readers of answers share.
package answertest

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/cornelline/cornelline/pkg/standin"
)

// Start starts a server that sends an answer to each request. It returns its address.
func Start(t *testing.T, a standin.BrokenAnswer) string {
	t.Helper()
	s := httptest.NewServer(&a)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// ResetReports returns dial functions for TCP connections by what the kernel reports of a reset to the
// read and the write of a request. The first one leaves that to the kernel. On connections of the others
// the second read and all later ones wait until a write has failed; the last one returns that failure
// only after the read that found the end.
func ResetReports() map[string]DialFunc {
	dial := (&net.Dialer{}).DialContext
	reportToWrite := func(late bool) DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &resetConn{Conn: conn, late: late, writeFailed: make(chan struct{}), readEnded: make(chan struct{})}, nil
		}
	}
	return map[string]DialFunc{"as the kernel does": dial, "to the write": reportToWrite(false), "to the write late": reportToWrite(true)}
}

// resetConn orders what the read and the write of a connection report of a reset.
type resetConn struct {
	net.Conn
	late                   bool
	reads                  int
	writeFailed, readEnded chan struct{}
	failOnce, endOnce      sync.Once
}

// Read waits for a failed write unless it is the first one.
func (c *resetConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.writeFailed
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endOnce.Do(func() { close(c.readEnded) })
	}
	return n, err
}

// Write reports a failure to Read.
func (c *resetConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failOnce.Do(func() { close(c.writeFailed) })
		if c.late {
			<-c.readEnded
		}
	}
	return n, err
}

// Close also ends waiting reads and writes.
func (c *resetConn) Close() error {
	err := c.Conn.Close()
	c.failOnce.Do(func() { close(c.writeFailed) })
	c.endOnce.Do(func() { close(c.readEnded) })
	return err
}
