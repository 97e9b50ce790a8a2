package userplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CallerRequest holds the values of the headers that a caller sends.
type CallerRequest struct {
	ID       string
	Key      string
	Deadline time.Duration
	// LastEvent is the number of the last event that the caller received; 0 for none.
	LastEvent int
	// MaxTokens is the largest number of tokens of the answer to a prompt of 100 tokens; 0 for a request
	// that states neither.
	MaxTokens int
	// PromptParts lists the parts of the prompt; empty for none.
	PromptParts string
}

// SetHeaders sets the host and the headers of a caller's request.
func (c CallerRequest) SetHeaders(r *http.Request) {
	r.Host = "h.example"
	r.Header.Set("Request-Id", c.ID)
	r.Header.Set("Deadline-Milliseconds", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.Key)
	if c.PromptParts != "" {
		r.Header.Set("Prompt-Prefix", c.PromptParts)
	}
	if c.MaxTokens > 0 {
		r.Header.Set("Token-Counts", fmt.Sprintf("100,%d", c.MaxTokens))
	}
	if c.LastEvent > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
}

// DirectoryURL returns the URL at which callers look up the addresses to use. The address
// is that of the directory.
func DirectoryURL(address string) string {
	return "http://" + address + "/v1/resolution?name=h.example&region=r&zone=a"
}

// DecodeAddresses returns the addresses in the directory's answer, or nil if it is malformed
// or lists none.
func DecodeAddresses(body io.Reader) []string {
	var answer struct{ Addresses []string }
	if json.NewDecoder(body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// SignedFor reports whether the headers of an answer carry the signature of a server that
// ran the request with the given ID.
func SignedFor(h http.Header, id string) bool {
	return strings.HasSuffix(h.Get("Response-Signature"), "."+id)
}
