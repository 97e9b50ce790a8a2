package gateway

import (
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/platform"
)

// configRecord is a configuration as it is stored, and its compiled form.
type configRecord struct {
	data    []byte
	catalog *catalog.Catalog
	// fetchTime is how long another VM took to send it; 0 if it was read from the store.
	fetchTime time.Duration
}

// decodeConfig compiles a configuration and returns nil for an invalid one.
func (c *control) decodeConfig(data []byte, source string) *configRecord {
	compiled, err := platform.DecodeConfig(data)
	if err != nil {
		c.g.stats.Count("config_rejected")
		c.g.log.Log(event.ConfigRejected).Str("source", source).Err(err).Send()
		return nil
	}
	return &configRecord{data: data, catalog: compiled}
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
		}
	})
}

// applyPeerConfig applies the configuration of another VM if it is newer.
func (c *control) applyPeerConfig(data []byte, reverted storeera.Era, vm string, fetchTime time.Duration) {
	r := c.decodeConfig(data, vm)
	if r == nil {
		return
	}
	r.fetchTime = fetchTime
	c.post(func(now time.Time) {
		if c.configuration.ObservePeerVersion(storeera.Version{RevertEra: reverted, Number: r.catalog.Version}, c.g.eras.era()) {
			c.activateConfig(now, r, vm)
		}
	})
}

// activateConfig makes a configuration the one in force and publishes a view with it.
func (c *control) activateConfig(now time.Time, r *configRecord, source string) {
	c.catalog, c.configData, c.pendingConfig, c.dirty = r.catalog, r.data, nil, true
	c.nearStateTimer.SendNow()
	c.farStateTimer.SendNow()
	c.g.log.Log(event.ConfigInForce).Uint64("version", r.catalog.Version).Str("source", source).Int("bytes", len(r.data)).
		Int64("fetch_ms", r.fetchTime.Milliseconds()).Send()
	c.publish(now)
}
