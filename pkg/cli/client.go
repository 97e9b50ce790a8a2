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

	"github.com/cornelline/cornelline/internal/answer"
	"github.com/cornelline/cornelline/pkg/chat"
	"github.com/cornelline/cornelline/pkg/result"
)

// callTimeout bounds one request of an operator command. It exceeds the 10 s for which
// the daemon waits for the log in a settings change.
const callTimeout = 15 * time.Second

// transport sends the requests of all commands.
var transport = answer.NewTransport(http.DefaultTransport.(*http.Transport))

// unknownOutcomeError is a failure of a change that may or may not have taken effect.
type unknownOutcomeError struct{ err error }

func (e *unknownOutcomeError) Error() string {
	return "it is not known whether the change was made: " + e.err.Error()
}

func (e *unknownOutcomeError) Unwrap() error { return e.err }

// call sends a request to the entry VM and returns the response body. When a request
// for a change may have been sent and the response does not show its outcome, the
// error is an *unknownOutcomeError.
func (c *command) call(method, path string, header http.Header, body []byte) ([]byte, error) {
	sent := false
	wrapError := func(err error) error {
		if sent && method != http.MethodGet {
			return &unknownOutcomeError{err}
		}
		return err
	}
	// Nothing is sent without a connection. As soon as there is one, part of the
	// request may have been sent.
	ctx := httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.sharedOptions.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.sharedOptions.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.sharedOptions.Key)
	}
	client := http.Client{Timeout: callTimeout, Transport: transport}
	resp, err := client.Do(req)
	if err != nil {
		return nil, wrapError(fmt.Errorf("entry VM %s: %w", c.sharedOptions.Address, err))
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, wrapError(fmt.Errorf("read answer: %w", err))
	}
	if resp.StatusCode < http.StatusBadRequest {
		return data, nil
	}
	err = decodeError(resp.StatusCode, data)
	var daemonErr *result.Error
	if resp.StatusCode >= http.StatusInternalServerError && !errors.As(err, &daemonErr) {
		// The response is not from the daemon, for example from a proxy, so it does not
		// show the outcome of the change.
		return nil, wrapError(err)
	}
	return nil, err
}

// decodeError returns the error in a response. It is a *result.Error if the body has
// an error code.
func decodeError(status int, data []byte) error {
	var body chat.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == 0 {
		return fmt.Errorf("HTTP status %d: %s", status, bytes.TrimSpace(data))
	}
	e := result.New(body.Error.Code, body.Error.Outcome, "%s", body.Error.Message)
	return e.WithRetryAfter(time.Duration(body.Error.RetryAfterMS) * time.Millisecond)
}

// print writes a response body: unchanged with --json, indented otherwise. A body that
// is not JSON is written unchanged.
func (c *command) print(data []byte) error {
	if c.sharedOptions.JSON {
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

// show sends a request to the entry VM and prints the response body.
func (c *command) show(method, path string, header http.Header, body []byte) error {
	data, err := c.call(method, path, header, body)
	if err != nil {
		return err
	}
	return c.print(data)
}
