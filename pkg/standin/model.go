package standin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// VocabularySize is the number of distinct tokens that the model stand-in generates.
const VocabularySize = 50000

// endTokenOdds sets the probability of the end token at a position to 1/endTokenOdds.
const endTokenOdds = 4096

// hashWords returns the hash of at most four words.
func hashWords(words ...uint64) uint64 {
	var buffer [32]byte
	for i, w := range words {
		binary.LittleEndian.PutUint64(buffer[8*i:], w)
	}
	return xxhash.Sum64(buffer[:8*len(words)])
}

// modelSeed returns a hash that stands for the weights of a model version with an adapter.
func modelSeed(model fleet.ModelID, version, adapter string) uint64 {
	return xxhash.Sum64String(string(model) + "\x00" + version + "\x00" + adapter)
}

// embed returns the input activation of the first layer.
func embed(seed uint64, position int, token fleet.Token) uint64 {
	return hashWords(seed, uint64(position), uint64(token))
}

// runLayers runs a layer range for one position and returns the activation. before holds
// the KV digest of each layer up to the previous position and is nil at the first one.
// The digests up to this position are stored in after. Each activation depends on the
// layer number, the input and the KV digest, and each digest on the position. A layer or
// position that is skipped, repeated or reordered therefore changes all later tokens.
func runLayers(layers fleet.LayerRange, position int, activation uint64, before, after []uint64) uint64 {
	for i := range after {
		var digest uint64
		if before != nil {
			digest = before[i]
		}
		layer := uint64(layers.First + i)
		after[i] = hashWords(digest, uint64(position), layer, activation)
		activation = hashWords(activation, layer, after[i])
	}
	return activation
}

// sample returns the token derived from the last activation, and whether generation ends.
func sample(activation uint64) (token fleet.Token, end bool) {
	return fleet.Token(activation % VocabularySize), (activation>>32)%endTokenOdds == 0
}

// ExpectedTokens returns the tokens, at most max, that a correct run of all layers
// generates from the prompt. It computes them without a chain of stages, as a reference.
func ExpectedTokens(model fleet.ModelID, version, adapter string, layers int, prompt []fleet.Token, max int) []fleet.Token {
	seed := modelSeed(model, version, adapter)
	allLayers := fleet.LayerRange{First: 0, End: layers}
	var before []uint64
	var generated []fleet.Token
	sequence := append([]fleet.Token(nil), prompt...)
	for position := 0; len(generated) < max && position < len(sequence); position++ {
		after := make([]uint64, layers)
		activation := runLayers(allLayers, position, embed(seed, position, sequence[position]), before, after)
		before = after
		if position < len(prompt)-1 {
			continue
		}
		token, end := sample(activation)
		if end {
			break
		}
		generated = append(generated, token)
		sequence = append(sequence, token)
	}
	return generated
}
