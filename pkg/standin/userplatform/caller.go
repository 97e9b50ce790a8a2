package userplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CallerRequest is what a stand-in of a caller sends.
type CallerRequest struct {
	ID       string
	Key      string
	Deadline time.Duration
	// LastEvent is the last event that the caller has, 0 for none.
	LastEvent int
}

// Sign sets the headers of a caller's request.
func (c CallerRequest) Sign(r *http.Request) {
	r.Host = "h.example"
	r.Header.Set("Request-Id", c.ID)
	r.Header.Set("Deadline-Milliseconds", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.Key)
	if c.LastEvent > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
}

// DirectoryURL is where callers ask which addresses to use.
func DirectoryURL(address string) string {
	return "http://" + address + "/v1/resolution?name=h.example&region=r&zone=a"
}

// DecodeAddresses decodes the directory's answer; nil when it has none.
func DecodeAddresses(body io.Reader) []string {
	var answer struct{ Addresses []string }
	if json.NewDecoder(body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// SignedFor reports whether an answer bears the signature of a run of the request.
func SignedFor(h http.Header, id string) bool {
	return strings.HasSuffix(h.Get("Response-Signature"), "."+id)
}
