package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/pkg/wire"
	"github.com/cornelline/cornelline/platform"
)

// configRecord is a configuration in the store's encoding, and its compiled form.
type configRecord struct {
	data    []byte
	catalog *catalog.Catalog
	// compressed returns data as other VMs get it. It compresses at the first call.
	compressed func() []byte
	// receivedBytes is the size of the record as it was received.
	receivedBytes int
	// fetchTime is how long another VM took to send it; 0 if it was read from the store.
	fetchTime time.Duration
}

// decodeConfig compiles a configuration and returns nil for an invalid one.
func (c *control) decodeConfig(data []byte, source string) *configRecord {
	compiled, err := platform.DecodeConfig(data)
	if err != nil {
		c.rejectConfig(source, err)
		return nil
	}
	return &configRecord{
		data: data, catalog: compiled, receivedBytes: len(data),
		compressed: sync.OnceValue(func() []byte { return peering.CompressConfig(data) }),
	}
}

func (c *control) rejectConfig(source string, err error) {
	c.g.stats.Count("config_rejected")
	c.g.log.Log(event.ConfigRejected).Str("source", source).Err(err).Send()
}

// decodeOffer compiles the configuration that another VM sent and returns nil for an invalid one.
func (c *control) decodeOffer(offered []byte, vm string) *configRecord {
	data, err := peering.DecompressConfig(offered)
	if err != nil {
		c.rejectConfig(vm, err)
		return nil
	}
	r := c.decodeConfig(data, vm)
	if r != nil && peering.IsCompressedConfig(offered) {
		r.receivedBytes = len(offered)
		r.compressed = func() []byte { return offered }
	}
	return r
}

// offerConfig answers a VM that wants a newer configuration.
func (g *Gateway) offerConfig(ctx context.Context, from wire.Peer, want *peering.ConfigWant) (*peering.ConfigOffer, error) {
	newer := make(chan *configRecord, 1)
	offer := &peering.ConfigOffer{}
	g.control.post(func(time.Time) {
		v := g.control.configuration.InForce()
		if g.control.configRecord == nil || !v.After(want.Version) {
			newer <- nil
			return
		}
		offer.RevertEra = v.RevertEra
		newer <- g.control.configRecord
	})
	var r *configRecord
	select {
	case r = <-newer:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if r == nil {
		return &peering.ConfigOffer{}, nil
	}
	if offer.Data = r.data; from.Supports(wire.CompressedConfig) {
		offer.Data = r.compressed()
	}
	if !g.configOffers.allow(time.Now(), len(offer.Data)) {
		g.stats.Count("config_offers_deferred")
		return &peering.ConfigOffer{}, nil
	}
	return offer, nil
}

// configOffers limits the copies of the configuration that this VM sends. It is safe for
// concurrent use.
type configOffers struct {
	mu      sync.Mutex
	limiter *peering.OfferLimiter
}

func (o *configOffers) allow(now time.Time, size int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.limiter.Allow(now, size)
}

// applyStoreConfig applies the operator's record from the store.
func (c *control) applyStoreConfig(data []byte, record storeera.Record) {
	r := c.decodeConfig(data, "store")
	if r == nil {
		return
	}
	record.Number = r.catalog.Version
	c.post(func(now time.Time) {
		switch c.configuration.ObserveRecord(now, record) {
		case storeera.InForce:
			c.activateConfig(now, r, "store")
		case storeera.Pending:
			c.pendingConfig = r
			c.g.cancelConfigRead() // the next one ends when the version may be in force
		}
		c.updatePendingUntil()
	})
}

// confirmPendingConfig records that a read of the store that began at readStart found no newer
// configuration.
func (c *control) confirmPendingConfig(readStart time.Time, era storeera.Era) {
	if c.g.configPendingUntil.Load() == nil {
		return
	}
	c.post(func(now time.Time) {
		if c.configuration.ConfirmPending(readStart, era) {
			c.activateConfig(now, c.pendingConfig, "store, written anew by the operator")
		}
	})
}

// updatePendingUntil tells the goroutine that reads the configuration when a pending version may
// be in force.
func (c *control) updatePendingUntil() {
	var until *time.Time
	if at, ok := c.configuration.PendingUntil(); ok {
		until = &at
	}
	c.g.configPendingUntil.Store(until)
}

// applyPeerConfig applies the configuration of another VM if it is newer.
func (c *control) applyPeerConfig(offer *peering.ConfigOffer, vm string, fetchTime time.Duration) {
	r := c.decodeOffer(offer.Data, vm)
	if r == nil {
		return
	}
	r.fetchTime = fetchTime
	c.post(func(now time.Time) {
		if c.configuration.ObservePeerVersion(storeera.Version{RevertEra: offer.RevertEra, Number: r.catalog.Version}, c.g.eras.era()) {
			c.activateConfig(now, r, vm)
		}
	})
}

// activateConfig makes a configuration the one in force and publishes a view with it.
func (c *control) activateConfig(now time.Time, r *configRecord, source string) {
	c.catalog, c.configRecord, c.pendingConfig, c.dirty = r.catalog, r, nil, true
	c.updatePendingUntil()
	c.nearStateTimer.SendNow()
	c.farStateTimer.SendNow()
	select {
	case c.g.copiesDue <- struct{}{}:
	default: // a check is due already
	}
	c.g.log.Log(event.ConfigInForce).Uint64("version", r.catalog.Version).Str("source", source).Int("bytes", r.receivedBytes).
		Int64("fetch_ms", r.fetchTime.Milliseconds()).Send()
	c.publish(now)
}
