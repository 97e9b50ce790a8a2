package soak

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/platform"
)

// TestVMsOfARunHaveOneSecret guards against a soak whose VMs refuse each other's messages: they derive
// the secret with which they authenticate each other from the address of the store.
func TestVMsOfARunHaveOneSecret(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ports := []int{11001, 11002, 11003, 11004, 11005}
	var addresses []string
	for i := range 2 {
		link, err := NewLink("127.0.0.1:1")
		is.NoErr(err)
		v, err := newVM(dir, 0, i, 2, ports, link)
		is.NoErr(err)
		t.Cleanup(func() { _ = v.log.Close() })
		settings, err := platform.LoadSettings(v.settings)
		is.NoErr(err)
		addresses = append(addresses, settings.Store.Address)
	}
	is.Equal(addresses[0], addresses[1])
}
