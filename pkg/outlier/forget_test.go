package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/outlier"
)

// TestForgetDropsOneUpstream guards against a new incarnation that inherits the ejection of the
// previous one, and against others that lose theirs.
func TestForgetDropsOneUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	d := outlier.New(outlier.DefaultConfig())
	var members []outlier.Member
	for i := range 4 {
		members = append(members, outlier.Member{ID: fleet.UpstreamID(fmt.Sprint(i)), Route: "r"})
	}
	d.SetMembers(members)
	d.RecordRefused(now, "1", nil)
	d.RecordRefused(now, "2", nil)
	d.Forget("1")
	d.Forget("unknown")
	is.True(!d.IsEjected("1"))
	is.True(d.IsEjected("2"))
	is.Equal(len(d.RecordRefused(now, "1", nil)), 0) // unknown until it is listed again
	d.SetMembers(members)
	is.True(!d.IsEjected("1"))
	is.True(d.IsEjected("2"))
	d.RecordRefused(now, "1", nil)
	is.True(d.IsEjected("1"))
}
