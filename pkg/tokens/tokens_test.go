package tokens_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/tokens"
)

// TestDecodeIsInjective guards against two tokens that decode to the same text, so that
// a wrong token would go unnoticed.
func TestDecodeIsInjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Uint32().Draw(t, "a"), rapid.Uint32().Draw(t, "b")
		same := tokens.ByteLevel{}.Decode(a) == tokens.ByteLevel{}.Decode(b)
		if same != (a == b) {
			t.Fatalf("tokens %d and %d decode to the same text: %t", a, b, same)
		}
	})
	is := is.New(t)
	is.Equal(len(tokens.ByteLevel{}.Encode("Käse")), 5) // one token per byte
}
