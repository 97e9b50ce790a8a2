package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/upstream"
)

// maxCacheEvents is the number of cache events that an engine keeps for readers.
const maxCacheEvents = 4096

// prefixCache holds the hashes of prompt blocks, least recently used first out.
// The KV digests themselves are always computed; a hit only saves time.
type prefixCache struct {
	mu       sync.Mutex
	limit    int
	gap      int
	order    list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

// use returns how many leading blocks were cached and adds the others.
func (c *prefixCache) use(hashes []uint64) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	for _, hash := range hashes {
		if c.blocks[hash] == nil {
			break
		}
		cached++
	}
	for _, hash := range hashes {
		if element := c.blocks[hash]; element != nil {
			c.order.MoveToBack(element)
			continue
		}
		c.blocks[hash] = c.order.PushBack(hash)
		c.publish(hash, false)
	}
	for c.order.Len() > c.limit {
		c.drop(c.order.Front())
	}
	return cached
}

// drop removes one block.
func (c *prefixCache) drop(element *list.Element) {
	hash := c.order.Remove(element).(uint64)
	delete(c.blocks, hash)
	c.publish(hash, true)
}

// publish appends an event, or loses it in a gap.
func (c *prefixCache) publish(hash uint64, dropped bool) {
	c.sequence++
	if c.gap > 0 && c.sequence%uint64(c.gap) == 0 {
		return
	}
	event := upstream.CacheEvent{Sequence: c.sequence, PrefixHash: hash, Dropped: dropped}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the events later than a sequence number that are at least as old as the lag.
func (c *prefixCache) after(sequence uint64, lag time.Duration) upstream.CacheEventBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := upstream.CacheEventBatch{Next: sequence}
	for _, e := range c.events {
		if e.event.Sequence > sequence && time.Since(e.at) >= lag {
			batch.Events = append(batch.Events, e.event)
			batch.Next = e.event.Sequence
		}
	}
	return batch
}

// clear empties the cache without events, as a crash does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = nil
	c.order.Init()
	c.events = nil
}
