// Package answer decides whether the answer to an HTTP/1.x request is whole. Every reader of
// answers uses it.
//
// An answer is whole if its head is one of HTTP/1.x and its body has come to its end. A length or
// chunks mark that end. An answer with neither ends with its connection: it is whole if the read
// came to the end of the stream and the whole request had been written, both without an error.
package answer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// ErrRequestCutOff reports that an answer with neither a length nor chunks ended, but its request
// could not be written, so that the answer may have been cut off as well.
var ErrRequestCutOff = errors.New("connection ended before the request was written")

// IsDelimited reports whether something else than the end of the connection marks the end of the
// response's body.
func IsDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// Conn is a client's connection that serves one request at a time. It combines what its read and
// its write report: the kernel reports a reset to one system call only, and if that is the write of
// a request, a read beside it gets the plain end of the stream.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// changed signals changes of the fields below.
	changed *sync.Cond
	// used is set once a request has begun, so that something reads from the connection.
	used bool
	// writing is set while a request is being written.
	writing bool
	// writes is the number of calls of Write in progress.
	writes int
	// written is the number of bytes that Write has written of the current request.
	written int
	// failure is the first error of a write.
	failure error
	// endsAnswer is set if only the end of the connection marks that of the current answer.
	endsAnswer bool
	readEnded  bool
	closed     bool
}

// NewConn returns a Conn over an open connection.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.changed = sync.NewCond(&conn.mu)
	return conn
}

// NetConn returns the connection under c. What is written to it directly goes between BeginRequest
// and EndRequest.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// BeginRequest begins a request.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.writing, c.written, c.endsAnswer = true, true, 0, false
}

// EndRequest ends the write of the request, with its error.
func (c *Conn) EndRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.fail(err)
	c.changed.Broadcast()
}

// EndsAnswer states that only the end of the connection marks that of the current answer.
func (c *Conn) EndsAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsAnswer = true
}

// RequestWritten reports whether the request has been written completely. It does not block.
func (c *Conn) RequestWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && c.writes == 0 && c.failure == nil
}

// Read reads from the connection. If its end is that of the answer, Read returns io.EOF only after
// the request has been written, and ErrRequestCutOff if that failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnded = true
	c.changed.Broadcast()
	if err != io.EOF || !c.endsAnswer {
		return n, err
	}
	for c.failure == nil && !c.closed && (c.writing || c.writes > 0) {
		c.changed.Wait()
	}
	switch {
	case c.failure != nil:
		return n, fmt.Errorf("%w: %w", ErrRequestCutOff, c.failure)
	case c.closed:
		return n, net.ErrClosed
	}
	return n, io.EOF
}

// Write writes to the connection. The failure of a request that has been written in part is only
// returned when the read has ended as well: until then the client of net/http would close the
// connection and lose an answer that has arrived.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.written += n
	c.fail(err)
	c.changed.Broadcast()
	if err != nil && c.used && c.written > 0 {
		for !c.readEnded && !c.closed {
			c.changed.Wait()
		}
	}
	return n, err
}

// Close closes the connection and ends waiting reads and writes.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return err
}

// fail records the error of a write. The caller holds mu.
func (c *Conn) fail(err error) {
	if c.failure == nil {
		c.failure = err
	}
}
