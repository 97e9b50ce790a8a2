package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
	"github.com/cornelline/cornelline/platform"
)

// TestConfigAfterASilentStore: a long poll of the configuration that is open when the store
// becomes silent is never answered. A change written during the outage must be in force
// within 5 s of the store's return, the sum of the platform's settle_window_ms and
// config_ms.
func TestConfigAfterASilentStore(t *testing.T) {
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	d.store.SetSilent(true)
	d.store.Put("keyed.op", "config", config(2, 2000, "k2"))
	d.eventually("the outage is noticed", func() bool { return strings.Contains(d.log.String(), `"log_unavailable"`) })
	time.Sleep(time.Second)
	d.store.SetSilent(false)
	back := time.Now()
	d.eventually("the new key is in force", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l2", "k2", "").status == http.StatusOK })
	if took := time.Since(back); took > 5*time.Second {
		t.Errorf("the configuration came into force %v after the store's return", took)
	}
}

// TestConfigAfterASilentPartition guards against a change that is in force late because only the
// partition of the configuration was silent: the VM's other calls to the store are answered, so
// that none of them ends the long poll.
func TestConfigAfterASilentPartition(t *testing.T) {
	const bound = 5 * time.Second // settle_window_ms and config_ms of the platform
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	d.store.SetTopicSilent("keyed.op", true)
	d.store.Put("keyed.op", "config", config(2, 2000, "k2"))
	time.Sleep(time.Second)
	d.store.SetTopicSilent("keyed.op", false)
	back := time.Now()
	d.eventually("the new key is in force", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l2", "k2", "").status == http.StatusOK })
	if took := time.Since(back); took > bound {
		t.Errorf("the configuration came into force %v after the partition's return", took)
	}
}

// TestStartWhileThePartitionOfTheConfigurationIsSilent guards against a VM without memory that
// still waits for the answer to its first read long after the partition is back.
func TestStartWhileThePartitionOfTheConfigurationIsSilent(t *testing.T) {
	const bound = 5 * time.Second // well within recovery_s, of which loads of layers need the rest
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.store.SetTopicSilent("keyed.op", true)
	d.start()
	time.Sleep(time.Second)
	d.store.SetTopicSilent("keyed.op", false)
	back := time.Now()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	if took := time.Since(back); took > bound {
		t.Errorf("the VM served %v after the partition's return", took)
	}
}

// TestOneVMReadsTheListForAll: the number of calls to the store must not grow with the
// number of VMs, all VMs must learn of a change in time, and the others must continue when
// the reader stops.
func TestOneVMReadsTheListForAll(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	stopFirst := d.stop
	others := []platform.Settings{d.settingsForVM("vn"), d.settingsForVM("vo")}
	for _, s := range others {
		d.startVM(s)
	}
	knows := func(vm, upstream, reason string) bool {
		for line := range strings.Lines(d.log.String()) {
			if strings.Contains(line, `"upstream_changed"`) && strings.Contains(line, `"vm":"`+vm+`"`) &&
				strings.Contains(line, `"`+upstream+`"`) && strings.Contains(line, reason) {
				return true
			}
		}
		return false
	}
	allKnow := func(upstream, reason string) func() bool {
		return func() bool { return knows("vn", upstream, reason) && knows("vo", upstream, reason) }
	}
	d.eventually("all have the list", allKnow("p1", "listed"))
	d.eventually("the VMs know each other", func() bool { return strings.Count(d.log.String(), `"member_joined"`) >= 6 })
	// Three VMs that read every second would make 15 calls in 5 s, and one reader makes 5.
	// The bound leaves room for occasional reads by VMs that miss a listing.
	time.Sleep(time.Second)
	before := d.store.Reads("keyed.servers")
	time.Sleep(5 * time.Second)
	is.True(d.store.Reads("keyed.servers")-before <= 9)

	p7 := &userplatform.PlainServer{ID: "p7"}
	d.store.Put("keyed.servers", p7.ID, p7.Entry("127.0.0.1:1", "ready", 6, 1000))
	d.eventually("all learn of a new upstream", allKnow("p7", "listed"))
	stopFirst()
	d.store.Put("keyed.servers", "p7", nil)
	d.eventually("all learn of a removal after the end of the reader", allKnow("p7", "removed"))
}
