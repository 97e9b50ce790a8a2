// Package tokens converts between text and the tokens that engines process. A
// model's own tokenizer can be plugged in through the Tokenizer interface. The
// ByteLevel tokenizer works with engines whose vocabulary begins with the 256 byte
// values.
package tokens

import (
	"strings"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Tokenizer converts between text and tokens.
type Tokenizer interface {
	Encode(text string) []fleet.Token
	// Decode returns the text of one generated token.
	Decode(t fleet.Token) string
}

// ByteLevel encodes each byte as one token. It decodes each generated token to a word.
// Different tokens decode to different words, so a wrong token is visible in the text.
type ByteLevel struct{}

// Encode returns one token per byte of text.
func (ByteLevel) Encode(text string) []fleet.Token {
	out := make([]fleet.Token, len(text))
	for i := range len(text) {
		out[i] = fleet.Token(text[i])
	}
	return out
}

const (
	consonants = "bdfghklmnprstvwz"
	vowels     = "aeio"
	// bitsPerSyllable is the number of token bits that one syllable carries.
	bitsPerSyllable = 6
)

// Decode returns a word of syllables with a leading space.
func (ByteLevel) Decode(t fleet.Token) string {
	var b strings.Builder
	b.WriteByte(' ')
	for {
		b.WriteByte(consonants[t&15])
		b.WriteByte(vowels[t>>4&3])
		t >>= bitsPerSyllable
		if t == 0 {
			return b.String()
		}
		t-- // bijective numeration: "ba" and "baba" are different tokens
	}
}

// DecodeAll returns the concatenated text of generated tokens.
func DecodeAll(t Tokenizer, generated []fleet.Token) string {
	var b strings.Builder
	for _, token := range generated {
		b.WriteString(t.Decode(token))
	}
	return b.String()
}
