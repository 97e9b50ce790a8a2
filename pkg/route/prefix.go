package route

import "sync/atomic"

// prefixSlots is the number of prefix blocks remembered per engine; it is a
// power of two. 4,096 blocks take 32 KB per engine.
const prefixSlots = 4096

// PrefixTable is what cache events told of an engine's prompt prefixes. Events
// come late and with gaps, so an entry is only a hint. It forgets on collision.
// It is safe for concurrent use and shared by successive snapshots.
type PrefixTable struct{ slots [prefixSlots]atomic.Uint64 }

// Add books a prefix block as cached.
func (t *PrefixTable) Add(hash uint64) { t.slots[hash%prefixSlots].Store(hash) }

// Drop books a prefix block as dropped.
func (t *PrefixTable) Drop(hash uint64) { t.slots[hash%prefixSlots].CompareAndSwap(hash, 0) }

// Reset forgets everything, after a restart of the engine or a gap in the events.
func (t *PrefixTable) Reset() {
	for i := range t.slots {
		t.slots[i].Store(0)
	}
}

// Has reports whether the block is believed cached.
func (t *PrefixTable) Has(hash uint64) bool {
	return hash != 0 && t.slots[hash%prefixSlots].Load() == hash
}

// Match returns how many leading blocks of the chain are believed cached. The
// blocks are chained hashes, so a cached later block implies the earlier ones.
func (t *PrefixTable) Match(chain []uint64) int {
	for i := len(chain); i > 0; i-- {
		if t.Has(chain[i-1]) {
			return i
		}
	}
	return 0
}
