package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// TestStoreRestoredFromOlderCopy: the copy contains a key and a server that were removed
// after it was taken. Both must stay removed on the VM that reads the store and on the other
// one, and later writes must come into force as fast as before.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "old", "k"))
	d.start()
	second := d.settingsForVM("vn")
	d.startVM(second)
	first := d.settings
	both := func(check func() bool) func() bool {
		return func() bool {
			d.settings = first
			one := check()
			d.settings = second
			two := check()
			d.settings = first
			return one && two
		}
	}
	status := func(key string) int {
		return d.sendRequest(http.MethodGet, "/look/1", "l"+strconv.Itoa(time.Now().Nanosecond()), key, "").status
	}
	d.eventually("served", both(func() bool { return status("old") == http.StatusOK }))
	d.eventually("layers are placed", func() bool { return d.canGenerate("g" + strconv.Itoa(time.Now().Nanosecond())) })
	older := d.store.Snapshot()

	d.store.Put("keyed.op", "config", config(5, 2000, "k"))
	d.eventually("the key is withdrawn", both(func() bool { return status("old") == http.StatusUnauthorized }))
	at := d.recordArrivals(d.plain[0])
	d.store.Put("keyed.servers", "p0", d.plain[0].Entry("127.0.0.1:9", "draining", 6, 1000))
	drains := func() bool {
		return strings.Count(d.log.String(), `"upstream":"p0","service":"shop","address":"127.0.0.1:9","reason":"listed"`) >= 2
	}
	d.eventually("the server drains", drains)
	d.store.Put("keyed.servers", "p0", nil)
	d.eventually("the server left", func() bool { return strings.Count(d.log.String(), `"reason":"removed"`) >= 2 })
	gone := time.Now()

	d.store.Restore(older)
	d.eventually("both VMs know", func() bool { return strings.Count(d.log.String(), `"store_restored"`) >= 2 })
	for restored := time.Now(); time.Since(restored) < time.Second; {
		is.True(both(func() bool { return status("old") == http.StatusUnauthorized && status("k") == http.StatusOK })())
	}
	is.Equal(at.countBetween(gone, time.Now()), 0)

	// The platform repeats its earlier writes and continues.
	d.store.Put("keyed.op", "config", config(5, 2000, "k"))
	d.store.Put("keyed.op", "config", config(6, 2000, "k", "k6"))
	p := &userplatform.PlainServer{ID: "p9", Runs: d.runs}
	d.store.Put("keyed.servers", p.ID, p.Entry("127.0.0.1:1", "ready", 6, 5000))
	d.eventually("the next version is in force", both(func() bool { return status("k6") == http.StatusOK }))
	d.eventually("a new server is listed", func() bool {
		return strings.Count(d.log.String(), `"upstream":"p9","service":"shop","address":"127.0.0.1:1","reason":"listed"`) >= 2
	})
	is.Equal(status("old"), http.StatusUnauthorized)
}

// TestLeadAfterARestore: after a restore the group reuses generations, so engines would
// refuse a leader whose token derives from a reused one. Orders must continue.
func TestLeadAfterARestore(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	empty := d.store.Snapshot()
	d.start()
	d.eventually("layers are placed", func() bool { return d.canGenerate("g" + strconv.Itoa(time.Now().Nanosecond())) })
	d.store.Rebalance("placement")
	d.store.Rebalance("placement")
	d.store.Restore(empty)
	d.eventually("it is known", func() bool { return strings.Contains(d.log.String(), `"store_restored"`) })
	for _, e := range d.engines { // renew the entries
		e.OnLayersChanged(e)
	}
	lost := map[string]bool{}
	for _, e := range d.engines {
		if first, end := e.Layers(); first == 0 && end > 0 {
			e.Drain()
			lost[e.ID] = true
			d.store.Put("keyed.servers", e.ID, nil)
		}
	}
	is.True(len(lost) > 0)
	for i := range len(lost) {
		d.addEngine(fmt.Sprintf("n%d", i))
	}
	d.eventually("the layers are placed again", func() bool { return d.canGenerate("r" + strconv.Itoa(time.Now().Nanosecond())) })
}

// TestIrregularStoreErasAreIgnored: an era that is missing, jumps or decreases must not stop
// the VM.
func TestIrregularStoreErasAreIgnored(t *testing.T) {
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	for i, era := range []int{0, 1 << 40, 3, 0, 4} {
		d.store.SetEra(era)
		key := fmt.Sprintf("k%d", i)
		d.store.Put("keyed.op", "config", config(2+i, 2000, key))
		d.eventually("the next version is in force", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l"+key, key, "").status == http.StatusOK })
	}
}
