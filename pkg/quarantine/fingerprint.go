package quarantine

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// sketchSize is the number of minhash bins. With 32 bins the standard error
	// of the estimated similarity is below 0.09.
	sketchSize = 32
	// shingleLen is the length in bytes of the overlapping substrings (shingles) of a body.
	shingleLen = 8
	// similarityThreshold is the minimum estimated Jaccard similarity of near-identical
	// bodies.
	similarityThreshold = 0.8
)

// Fingerprint identifies near-identical requests of one team to one model. It is computed
// from the normalised body: lower case, with each run of white space folded into one space
// and each run of digits into one 0.
type Fingerprint struct {
	Team  fleet.TeamID  `msgpack:"t"`
	Model fleet.ModelID `msgpack:"m"`
	// BodyHash is the hash of the normalised body.
	BodyHash uint64 `msgpack:"x"`
	// Sketch is a one-permutation minhash of the body's shingles; 0 marks an empty bin.
	Sketch [sketchSize]uint32 `msgpack:"s"`
	// Parts are the parts of the body that other requests may share.
	Parts []crashcause.Part `msgpack:"p,omitempty"`
}

// WithParts returns the fingerprint with the parts of the body that other requests may share, such
// as the earlier messages of a conversation.
func (f Fingerprint) WithParts(parts []string) Fingerprint {
	f.Parts = nil
	for _, p := range parts[:min(len(parts), crashcause.MaxParts)] {
		f.Parts = append(f.Parts, crashcause.PartOf(string(f.Team)+"\x00"+string(f.Model)+"\x00"+string(normalise([]byte(p)))))
	}
	return f
}

// RequestPart identifies all requests with the same normalised body.
func (f *Fingerprint) RequestPart() crashcause.Part {
	return crashcause.PartOf(fmt.Sprintf("%s\x00%s\x00%d", f.Team, f.Model, f.BodyHash))
}

// allParts returns the parts and the request itself.
func (f *Fingerprint) allParts() []crashcause.Part {
	return append(slices.Clone(f.Parts), f.RequestPart())
}

// NewFingerprint returns the fingerprint of a request body.
func NewFingerprint(team fleet.TeamID, model fleet.ModelID, body []byte) Fingerprint {
	text := normalise(body)
	f := Fingerprint{Team: team, Model: model, BodyHash: xxhash.Sum64(text)}
	for i := 0; i == 0 || i+shingleLen <= len(text); i++ {
		h := xxhash.Sum64(text[i:min(i+shingleLen, len(text))])
		bin, value := h%sketchSize, uint32(h>>32)|1
		if f.Sketch[bin] == 0 || value < f.Sketch[bin] {
			f.Sketch[bin] = value
		}
	}
	return f
}

// Similar reports whether both fingerprints are of near-identical requests.
func (f *Fingerprint) Similar(o *Fingerprint) bool {
	if f.Team != o.Team || f.Model != o.Model {
		return false
	}
	if f.BodyHash == o.BodyHash {
		return true
	}
	equal, filled := 0, 0
	for i, v := range f.Sketch {
		if v == 0 && o.Sketch[i] == 0 {
			continue
		}
		filled++
		if v == o.Sketch[i] {
			equal++
		}
	}
	return filled > 0 && float64(equal) >= similarityThreshold*float64(filled)
}

// normalise converts ASCII letters to lower case and folds each run of white space into one
// space and each run of digits into one 0. White space at both ends is removed.
func normalise(body []byte) []byte {
	text := make([]byte, 0, len(body))
	last := byte(' ') // drops leading white space
	for _, c := range body {
		switch {
		case c >= 'A' && c <= 'Z':
			c += 'a' - 'A'
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			c = ' '
		case c >= '0' && c <= '9':
			c = '0'
		}
		if c == last && (c == ' ' || c == '0') {
			continue
		}
		text = append(text, c)
		last = c
	}
	if n := len(text); n > 0 && text[n-1] == ' ' {
		text = text[:n-1]
	}
	return slices.Clip(text)
}
