package tokens_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/tokens"
)

// TestDecodeIsInjective guards against a wrong token that reads like the right one.
func TestDecodeIsInjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Uint32().Draw(t, "a"), rapid.Uint32().Draw(t, "b")
		same := tokens.ByteLevel{}.Decode(a) == tokens.ByteLevel{}.Decode(b)
		if same != (a == b) {
			t.Fatalf("tokens %d and %d decode alike: %t", a, b, same)
		}
	})
	is := is.New(t)
	is.Equal(len(tokens.ByteLevel{}.Encode("Käse")), 5) // one token a byte
}
