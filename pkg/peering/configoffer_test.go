package peering_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/wire"
)

// largeConfig returns a configuration with some routes more than the platform's largest one.
func largeConfig(random *rand.Rand) []byte {
	var b bytes.Buffer
	b.WriteString(`{"version":41,"routes":[`)
	for i := range 1500 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"%04x%02d.example","path_prefix":"/%08x/","kind":"idempotent","timeout_ms":600,"response_target_ms":120,"priority":2,"service":"xany53a","attempts":2}`,
			random.Uint32()>>4, random.Uint32()>>16, i%100, random.Uint32())
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// TestConfigSurvivesCompression guards against a configuration that other VMs get altered, cut
// or without bound.
func TestConfigSurvivesCompression(t *testing.T) {
	is := is.New(t)
	config := largeConfig(rand.New(rand.NewPCG(1, 2)))
	compressed := peering.CompressConfig(config)
	got, err := peering.DecompressConfig(compressed)
	is.NoErr(err)
	is.True(bytes.Equal(got, config))
	got, err = peering.DecompressConfig(config) // from a VM of a former build
	is.NoErr(err)
	is.True(bytes.Equal(got, config))
	_, err = peering.DecompressConfig(compressed[:len(compressed)/2])
	is.True(err != nil)
	_, err = peering.DecompressConfig(peering.CompressConfig(make([]byte, 64<<20)))
	is.True(err != nil)
}

// TestLargeConfigurationReachesTheFleetInTime guards against a new version that reaches most VMs
// late because all of them fetch a large configuration from the few that read the store, while
// those VMs' answers and state messages wait behind the copies.
func TestLargeConfigurationReachesTheFleetInTime(t *testing.T) {
	const (
		configDelay  = 4 * time.Second        // config_ms of the platform's largest deployment
		maxBacklog   = 500 * time.Millisecond // a VM counts as choked if its packets wait for longer
		linkPerS     = 50e6 / 8               // bytes a second, its slowest links
		fetchTimeout = time.Second
	)
	for _, c := range []struct{ vms, readers int }{{4, 1}, {118, 6}, {118, 1}, {3200, 6}} {
		t.Run(fmt.Sprintf("%d VMs, %d read the store", c.vms, c.readers), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(uint64(c.vms), uint64(c.readers)))
			offer := &peering.ConfigOffer{Data: peering.CompressConfig(largeConfig(random))}
			size, err := wire.Size(offer)
			is.NoErr(err)
			f := &configFleet{random: random, size: size, linkPerS: linkPerS, fetchTimeout: fetchTimeout, vms: make([]configVM, c.vms)}
			for i := range f.vms {
				f.vms[i].limiter = peering.NewOfferLimiter(linkPerS)
			}
			for i := range c.readers {
				f.adopt(0, i)
			}
			last := f.run(2 * configDelay)
			is.Equal(f.holders, c.vms)
			is.True(last <= configDelay)
			is.True(f.maxBacklog <= maxBacklog)
			t.Logf("copies of %d bytes, last VM after %v, longest wait on a link %v", size, last, f.maxBacklog)
		})
	}
}

// configFleet simulates VMs that fetch a new configuration from each other over links on which
// one message follows the other.
type configFleet struct {
	random       *rand.Rand
	size         int
	linkPerS     float64
	fetchTimeout time.Duration
	vms          []configVM
	holders      int
	maxBacklog   time.Duration
	events       eventHeap
}

type configVM struct {
	limiter      *peering.OfferLimiter
	holds        bool
	fetchUntil   time.Duration // end of the timeout of the fetch in progress; 0 for none
	linkBusyTill time.Duration
}

type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	networkDelay   = 2 * time.Millisecond
	maxMessageWait = 50 * time.Millisecond // until the control goroutine sends a state message
	announced      = 40                    // VMs to which the test delivers a state message of a holder, at random
)

func (f *configFleet) at(at time.Duration, run func(now time.Duration)) {
	heap.Push(&f.events, event{at, run})
}

// send transmits bytes over a VM's link and returns when they arrive.
func (f *configFleet) send(now time.Duration, from, size int) time.Duration {
	v := &f.vms[from]
	f.maxBacklog = max(f.maxBacklog, v.linkBusyTill-now)
	v.linkBusyTill = max(v.linkBusyTill, now) + time.Duration(float64(size)/f.linkPerS*float64(time.Second))
	return v.linkBusyTill + networkDelay
}

// adopt puts the version in force on a VM, which names it in its state messages from then on.
func (f *configFleet) adopt(now time.Duration, id int) {
	if f.vms[id].holds {
		return
	}
	f.vms[id].holds = true
	f.holders++
	f.announce(now+time.Duration(f.random.Int64N(int64(maxMessageWait))), id)
}

func (f *configFleet) announce(at time.Duration, from int) {
	interval := peering.RemoteStateInterval(len(f.vms))
	f.at(at, func(now time.Duration) {
		for range min(announced, len(f.vms)) {
			to := f.random.IntN(len(f.vms))
			f.at(f.send(now, from, 300), func(now time.Duration) { f.hear(now, to, from) })
		}
		if f.holders < len(f.vms) {
			f.announce(now+time.Duration((0.5+f.random.Float64())*float64(interval)), from)
		}
	})
}

// hear starts a fetch from a VM that names the version.
func (f *configFleet) hear(now time.Duration, id, holder int) {
	v := &f.vms[id]
	if v.holds || now < v.fetchUntil {
		return
	}
	until := now + f.fetchTimeout
	v.fetchUntil = until
	f.at(now+networkDelay, func(now time.Duration) {
		if !f.vms[holder].limiter.Allow(time.Unix(0, int64(now)), f.size) {
			f.at(f.send(now, holder, 30), func(time.Duration) { v.fetchUntil = 0 })
			return
		}
		f.at(f.send(now, holder, f.size), func(now time.Duration) {
			if now <= until {
				f.adopt(now, id)
			}
		})
	})
}

// run returns when the last VM had the version in force.
func (f *configFleet) run(limit time.Duration) time.Duration {
	last := time.Duration(0)
	for len(f.events) > 0 && f.holders < len(f.vms) {
		e := heap.Pop(&f.events).(event)
		if e.at > limit {
			break
		}
		e.run(e.at)
		last = e.at
	}
	return last
}
