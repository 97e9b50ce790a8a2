package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cornelline/cornelline/pkg/chat"
	"github.com/cornelline/cornelline/pkg/result"
)

// callTimeout bounds an operator command. A settings change waits for the log
// up to the daemon's own 10 s limit.
const callTimeout = 15 * time.Second

// unknownError is a failure after which a change may or may not have been made.
type unknownError struct{ err error }

func (e *unknownError) Error() string {
	return "it is not known whether the change was made: " + e.err.Error()
}

func (e *unknownError) Unwrap() error { return e.err }

// call sends a request to the entry VM and returns the answer's body. When a
// request for a change may have been sent and its answer is lost, the error is
// an *unknownError.
func (c *command) call(method, path string, header http.Header, body []byte) ([]byte, error) {
	sent := false
	failed := func(err error) error {
		if sent && method != http.MethodGet {
			return &unknownError{err}
		}
		return err
	}
	// Without a connection nothing was sent; with one, part of the request may be.
	ctx := httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.shared.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.shared.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.shared.Key)
	}
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, failed(fmt.Errorf("entry VM %s: %w", c.shared.Address, err))
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, failed(fmt.Errorf("read answer: %w", err))
	}
	if resp.StatusCode < http.StatusBadRequest {
		return data, nil
	}
	err = decodeError(resp.StatusCode, data)
	var numbered *result.Error
	if resp.StatusCode >= http.StatusInternalServerError && !errors.As(err, &numbered) {
		// Not the daemon's own answer, so it says nothing about the change.
		return nil, failed(err)
	}
	return nil, err
}

// decodeError returns the numbered error in an answer.
func decodeError(status int, data []byte) error {
	var body chat.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == 0 {
		return fmt.Errorf("HTTP status %d: %s", status, bytes.TrimSpace(data))
	}
	e := result.New(body.Error.Code, body.Error.Outcome, "%s", body.Error.Message)
	return e.WithRetryAfter(time.Duration(body.Error.RetryAfterMS) * time.Millisecond)
}

// print writes an answer: as it came with --json, otherwise indented.
func (c *command) print(data []byte) error {
	if c.shared.JSON {
		_, err := fmt.Fprintf(c.out, "%s\n", bytes.TrimSpace(data))
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		_, err = c.out.Write(data)
		return err
	}
	_, err := fmt.Fprintf(c.out, "%s\n", bytes.TrimSpace(indented.Bytes()))
	return err
}

// show calls the entry VM and prints the answer.
func (c *command) show(method, path string, header http.Header, body []byte) error {
	data, err := c.call(method, path, header, body)
	if err != nil {
		return err
	}
	return c.print(data)
}
