// Package tokens converts between text and the tokens that engines take. A
// model's own tokenizer plugs in through the Tokenizer interface; the byte-level
// one here serves engines whose vocabulary begins with the 256 byte values.
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

// ByteLevel encodes each byte as one token. Generated tokens decode to one word
// each; different tokens decode to different words, so that a wrong token shows.
type ByteLevel struct{}

// Encode returns one token for each byte of text.
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
	// syllableBits is the number of token bits that one syllable carries.
	syllableBits = 6
)

// Decode returns the token as a word of syllables with a leading space.
func (ByteLevel) Decode(t fleet.Token) string {
	var b strings.Builder
	b.WriteByte(' ')
	for {
		b.WriteByte(consonants[t&15])
		b.WriteByte(vowels[t>>4&3])
		t >>= syllableBits
		if t == 0 {
			return b.String()
		}
		t-- // makes the encoding bijective: "ba" and "baba" differ
	}
}

// DecodeAll returns the text of generated tokens.
func DecodeAll(t Tokenizer, generated []fleet.Token) string {
	var b strings.Builder
	for _, token := range generated {
		b.WriteString(t.Decode(token))
	}
	return b.String()
}
