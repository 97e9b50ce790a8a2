package entry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/entry"
	"github.com/cornelline/cornelline/pkg/event"
)

// TestReadyOnlyWithSettingsInForce guards against a VM that reports ready when it has read the
// settings but still serves with the defaults, because they are put in force later. A stop at
// that moment drains for the default address.valid_for instead of the fleet's.
func TestReadyOnlyWithSettingsInForce(t *testing.T) {
	is := is.New(t)
	cfg := shared.Spare
	cfg.Address, cfg.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	s, err := entry.New(cfg, event.Discard())
	is.NoErr(err)
	defer entry.ReadSettings(s)()
	waitFor(t, func() bool { return entry.HasReadSettings(s) })
	is.True(!entry.IsReady(s)) // the settings are read but not in force
}
