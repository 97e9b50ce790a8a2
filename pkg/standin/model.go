package standin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Vocabulary is the number of tokens that the model stand-in can produce.
const Vocabulary = 50000

// endOdds is the inverse odds that a position yields the end token.
const endOdds = 4096

// fold mixes words into one hash.
func fold(words ...uint64) uint64 {
	var buffer [32]byte
	for i, w := range words {
		binary.LittleEndian.PutUint64(buffer[8*i:], w)
	}
	return xxhash.Sum64(buffer[:8*len(words)])
}

// modelSeed identifies the weights of a model version with an adapter.
func modelSeed(model fleet.ModelID, version, adapter string) uint64 {
	return xxhash.Sum64String(string(model) + "\x00" + version + "\x00" + adapter)
}

// embed returns the activation that enters the first layer.
func embed(seed uint64, position int, token fleet.Token) uint64 {
	return fold(seed, uint64(position), uint64(token))
}

// runLayers runs a layer range for one position. before holds the KV digest of
// each layer up to the previous position, after receives those up to this one.
// Every activation depends on the layer number, the input and the KV digest, and
// every digest on the position, so that any layer or position that is missed,
// repeated or reordered changes all later tokens.
func runLayers(layers fleet.LayerRange, position int, activation uint64, before, after []uint64) uint64 {
	for i := range after {
		var digest uint64
		if before != nil {
			digest = before[i]
		}
		layer := uint64(layers.First + i)
		after[i] = fold(digest, uint64(position), layer, activation)
		activation = fold(activation, layer, after[i])
	}
	return activation
}

// sample returns the token that the last activation yields, and whether it is the end token.
func sample(activation uint64) (token fleet.Token, end bool) {
	return fleet.Token(activation % Vocabulary), (activation>>32)%endOdds == 0
}

// ExpectedTokens returns the tokens that a correct run of all layers generates
// from the prompt, at most max, computed without stages.
func ExpectedTokens(model fleet.ModelID, version, adapter string, layers int, prompt []fleet.Token, max int) []fleet.Token {
	seed := modelSeed(model, version, adapter)
	whole := fleet.LayerRange{First: 0, End: layers}
	var before []uint64
	var generated []fleet.Token
	sequence := append([]fleet.Token(nil), prompt...)
	for position := 0; len(generated) < max && position < len(sequence); position++ {
		after := make([]uint64, layers)
		activation := runLayers(whole, position, embed(seed, position, sequence[position]), before, after)
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
