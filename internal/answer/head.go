package answer

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrNotAnAnswer reports a head that is not one of HTTP/1.x. The request may have run.
var ErrNotAnAnswer = errors.New("not an answer of HTTP")

// maxStatus is the largest status code of HTTP.
const maxStatus = 599

// CheckHead returns an error that wraps ErrNotAnAnswer unless the head of a response, which may be an
// interim one, is one of HTTP/1.x. http.ReadResponse takes any digits for the version and the status.
// No request here asks for another protocol, so that a switch to one is no answer.
func CheckHead(resp *http.Response) error {
	known := resp.StatusCode >= http.StatusContinue && resp.StatusCode <= maxStatus
	if resp.ProtoMajor != 1 || !known || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %s %s", ErrNotAnAnswer, resp.Proto, resp.Status)
	}
	return nil
}
