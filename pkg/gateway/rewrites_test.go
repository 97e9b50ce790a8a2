package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// cuttableStore is a VM's own way to the store, which a test can cut.
type cuttableStore struct {
	*httptest.Server
	cut atomic.Bool
}

func (d *deployment) newCuttableStore() *cuttableStore {
	c := &cuttableStore{}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		d.store.ServeHTTP(w, r)
	}))
	d.t.Cleanup(c.Close)
	return c
}

// setCut cuts the way, with the calls that are in progress, or restores it.
func (c *cuttableStore) setCut(cut bool) {
	c.cut.Store(cut)
	if cut {
		c.CloseClientConnections()
	}
}

// TestVMThatLosesTheStoreBetweenRewrites guards against a withdrawn key that all VMs accept again
// after a restore of the store: one of them read the first of two versions that the operator writes
// again, lost the store, and took it for a return to that version.
func TestVMThatLosesTheStoreBetweenRewrites(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRewrites(t, 2)
	r.restore()
	r.write(8, "always", "old")
	time.Sleep(500 * time.Millisecond) // so that both have read it
	r.ways[1].setCut(true)
	time.Sleep(500 * time.Millisecond)
	r.write(14, "always", "new")
	for began := time.Now(); time.Since(began) < 5*time.Second; {
		for vm := range r.ways {
			is.Equal(r.status(vm, "old"), http.StatusUnauthorized)
			is.Equal(r.status(vm, "new"), http.StatusOK)
		}
	}
	r.ways[1].setCut(false)
	r.write(15, "always", "newest")
	for vm := range r.ways {
		r.d.eventually("the next version is in force", func() bool { return r.status(vm, "newest") == http.StatusOK })
	}
}

// TestOperatorReturnsToAnOlderVersion is the opposite of TestVMThatLosesTheStoreBetweenRewrites:
// after a restore the operator writes only the older version. Guards against VMs that keep the newer
// one, whether they are alone or some of them don't reach the store.
func TestOperatorReturnsToAnOlderVersion(t *testing.T) {
	for _, vms := range []int{1, 2} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			const bound = 7 * time.Second // config_ms and outer_ms of the platform
			r := newRewrites(t, vms)
			r.restore()
			if vms > 1 {
				r.ways[1].setCut(true)
			}
			r.write(8, "always", "old")
			written := time.Now()
			for vm := range r.ways {
				r.d.eventually("the older version is in force", func() bool {
					return r.status(vm, "old") == http.StatusOK && r.status(vm, "new") == http.StatusUnauthorized
				})
			}
			if took := time.Since(written); took > bound {
				t.Errorf("all VMs followed after %v", took)
			}
		})
	}
}

// rewrites is a deployment whose operator has written versions 3, 8 and 14. The last one withdraws
// the key "old" and adds "new".
type rewrites struct {
	d        *deployment
	ways     []*cuttableStore // by VM
	address  []string
	older    userplatform.Snapshot // holds version 3
	requests int
}

func newRewrites(t *testing.T, vms int) *rewrites {
	r := &rewrites{d: deploy(t)}
	r.d.settings.FleetSecret = "of all VMs" // else it follows from the address of the store
	first := r.d.settings
	r.write(3, "always", "old")
	for i := range vms {
		s := first
		if i > 0 {
			s = r.d.settingsForVM(fmt.Sprint("vm", i))
		}
		way := r.d.newCuttableStore()
		s.Store.Address = way.Listener.Addr().String()
		r.ways, r.address = append(r.ways, way), append(r.address, s.Self.Address)
		r.d.startVM(s)
	}
	for vm := range r.ways {
		r.d.eventually("served", func() bool { return r.status(vm, "old") == http.StatusOK })
	}
	r.older = r.d.store.Snapshot()
	r.write(8, "always", "old")
	r.write(14, "always", "new")
	for vm := range r.ways {
		r.d.eventually("the newest version is in force", func() bool {
			return r.status(vm, "new") == http.StatusOK && r.status(vm, "old") == http.StatusUnauthorized
		})
	}
	return r
}

// restore restores the store from the older copy and returns when all VMs have read it.
func (r *rewrites) restore() {
	r.d.store.Restore(r.older)
	r.d.eventually("all VMs know", func() bool { return strings.Count(r.d.log.String(), `"store_restored"`) >= len(r.ways) })
	time.Sleep(500 * time.Millisecond)
}

func (r *rewrites) write(version int, keys ...string) {
	r.d.store.Put("keyed.op", "config", config(version, 2000, keys...))
}

// status returns the status of a lookup through a VM.
func (r *rewrites) status(vm int, key string) int {
	r.requests++
	r.d.settings.Self.Address = r.address[vm]
	return r.d.sendRequest(http.MethodGet, "/look/1", "r"+strconv.Itoa(r.requests), key, "").status
}
