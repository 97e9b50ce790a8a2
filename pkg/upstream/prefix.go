package upstream

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// PrefixBlock is the number of prompt tokens in one block of the prefix cache.
const PrefixBlock = 16

// PrefixHashes returns the prefix hash of each whole block of the prompt, as in
// CacheEvent: each hash includes the hash of the preceding block.
func PrefixHashes(model fleet.ModelID, version, adapter string, prompt []fleet.Token) []uint64 {
	chain := xxhash.Sum64String(string(model) + "\x00" + version + "\x00" + adapter)
	hashes := make([]uint64, 0, len(prompt)/PrefixBlock)
	var block [8 + 4*PrefixBlock]byte
	for len(prompt) >= PrefixBlock {
		binary.LittleEndian.PutUint64(block[:8], chain)
		for i, token := range prompt[:PrefixBlock] {
			binary.LittleEndian.PutUint32(block[8+4*i:], token)
		}
		chain = xxhash.Sum64(block[:])
		hashes = append(hashes, chain)
		prompt = prompt[PrefixBlock:]
	}
	return hashes
}
