package answer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ErrNotAnAnswer reports a head that is not one of HTTP/1.x. The request may have run.
var ErrNotAnAnswer = errors.New("not an answer of HTTP")

// maxStatus is the largest status code of HTTP.
const maxStatus = 599

// CheckHead returns an error that wraps ErrNotAnAnswer unless the head of a response, which may be an
// interim one, is one of HTTP/1.x. http.ReadResponse takes any digits for the version and the status,
// and blanks in field names. No request here asks for another protocol, so that a switch to one is no
// answer.
func CheckHead(resp *http.Response) error {
	known := resp.StatusCode >= http.StatusContinue && resp.StatusCode <= maxStatus
	if resp.ProtoMajor != 1 || !known || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %s %s", ErrNotAnAnswer, resp.Proto, resp.Status)
	}
	return checkFieldNames(resp.Header)
}

// checkFieldNames returns an error that wraps ErrNotAnAnswer unless all names are those of fields of
// HTTP. A blank may have changed what a field means: "Content-Length : 2" states no length.
func checkFieldNames(fields map[string][]string) error {
	for name := range fields {
		if name == "" || strings.ContainsFunc(name, isNoTokenCharacter) {
			return fmt.Errorf("%w: field name %q", ErrNotAnAnswer, name)
		}
	}
	return nil
}

// isNoTokenCharacter reports whether a token of HTTP (RFC 9110, 5.6.2) may not hold a character.
func isNoTokenCharacter(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// Body returns the body of a response, which ends with an error that wraps ErrNotAnAnswer if the
// fields behind its last chunk are malformed.
func Body(resp *http.Response) io.ReadCloser { return &body{ReadCloser: resp.Body, resp: resp} }

type body struct {
	io.ReadCloser
	resp *http.Response
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkFieldNames(b.resp.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
