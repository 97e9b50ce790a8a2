package membership

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestJoinStatesIsOrderIndependent guards against members that disagree permanently
// because they received the same updates in different orders or more than once.
func TestJoinStatesIsOrderIndependent(t *testing.T) {
	member := rapid.Custom(func(t *rapid.T) Member {
		version := rapid.Uint64Range(0, 2).Draw(t, "version")
		return Member{
			ID: "x", Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
			Status:  Status(rapid.IntRange(0, 3).Draw(t, "status")),
			Version: version, Offset: version, // a version determines the fields
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b, c := member.Draw(t, "a"), member.Draw(t, "b"), member.Draw(t, "c")
		is.Equal(joinStates(a, a), a)
		is.Equal(joinStates(a, b), joinStates(b, a))
		is.Equal(joinStates(joinStates(a, b), c), joinStates(a, joinStates(b, c)))
	})
}
