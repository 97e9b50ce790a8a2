package gateway

import (
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/platform"
)

// configRecord is a configuration as it stands in the store, and compiled.
type configRecord struct {
	data    []byte
	catalog *catalog.Catalog
}

// decodeConfig compiles a configuration; nil for one that can't be used.
func (c *control) decodeConfig(data []byte, source string) *configRecord {
	compiled, err := platform.DecodeConfig(data)
	if err != nil {
		c.g.stats.Count("config_rejected")
		c.g.log.Log(event.ConfigRejected).Str("source", source).Err(err).Send()
		return nil
	}
	return &configRecord{data: data, catalog: compiled}
}

// configRead takes in the operator's record from the store.
func (c *control) configRead(data []byte, record storeera.Record) {
	r := c.decodeConfig(data, "store")
	if r == nil {
		return
	}
	record.Number = r.catalog.Version
	c.post(func(now time.Time) {
		switch c.configuration.Read(now, record) {
		case storeera.InForce:
			c.putConfig(now, r, "store")
		case storeera.Waits:
			c.rewritten = r
		}
	})
}

// configHeard takes in the configuration of another VM.
func (c *control) configHeard(data []byte, reverted storeera.Era, vm string) {
	r := c.decodeConfig(data, vm)
	if r == nil {
		return
	}
	c.post(func(now time.Time) {
		if c.configuration.Heard(storeera.Version{Reverted: reverted, Number: r.catalog.Version}, c.g.eras.era()) {
			c.putConfig(now, r, vm)
		}
	})
}

// putConfig puts a configuration in force.
func (c *control) putConfig(now time.Time, r *configRecord, source string) {
	c.catalog, c.config, c.rewritten, c.dirty = r.catalog, r.data, nil, true
	c.news.TellNow()
	c.farNews.TellNow()
	c.g.log.Log(event.ConfigInForce).Uint64("version", r.catalog.Version).Str("source", source).Send()
	c.publish(now)
}
