package membership

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestJoinIsOrderless guards against members that disagree for good because
// they heard the same news in different orders or several times.
func TestJoinIsOrderless(t *testing.T) {
	member := rapid.Custom(func(t *rapid.T) Member {
		version := rapid.Uint64Range(0, 2).Draw(t, "version")
		return Member{
			ID: "x", Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
			Status:  Status(rapid.IntRange(0, 3).Draw(t, "status")),
			Version: version, Offset: version, // one version has one value
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b, c := member.Draw(t, "a"), member.Draw(t, "b"), member.Draw(t, "c")
		is.Equal(join(a, a), a)
		is.Equal(join(a, b), join(b, a))
		is.Equal(join(join(a, b), c), join(a, join(b, c)))
	})
}
