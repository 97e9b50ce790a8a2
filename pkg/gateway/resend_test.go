package gateway

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/platform"
)

// TestFurtherSendUsesANewConnection guards against the late copy of a refusal that is taken for
// the answer when the same request is sent to the same server again: both bear its id.
func TestFurtherSendUsesANewConnection(t *testing.T) {
	is := is.New(t)
	c := &call{caller: platform.Caller{ID: "r"}, httpRequest: httptest.NewRequest("POST", "/x", nil)}
	is.True(!c.exchangeRequest("10.0.0.1:80", nil).NewConnection)
	is.True(!c.exchangeRequest("10.0.0.2:80", nil).NewConnection)
	is.True(c.exchangeRequest("10.0.0.1:80", nil).NewConnection)
}
