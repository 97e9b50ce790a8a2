package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// TestStartWhileThePlatformsPartitionsAreAway guards against VMs without memory that refuse every
// request for as long as the partitions with the configuration and the list are away, although the
// rest of the store answers.
func TestStartWhileThePlatformsPartitionsAreAway(t *testing.T) {
	for _, away := range []string{"down", "silent"} {
		t.Run(away, func(t *testing.T) {
			is := is.New(t)
			const bound = 5 * time.Second // well within recovery_s, of which loads of layers need the rest
			d := deploy(t)
			d.settings.Store.Partitions = 12
			d.store.Put("keyed.op", "config", config(1, 2000, "old", "k"))
			d.start()
			d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "old", "").status == http.StatusOK })
			d.store.Put("keyed.op", "config", config(2, 2000, "k"))
			d.eventually("the key is withdrawn", func() bool {
				return d.sendRequest(http.MethodGet, "/look/1", "l", "old", "").status == http.StatusUnauthorized
			})
			copies := func() bool {
				return d.store.Records("keyed.bootstrap/11") > 0 && d.store.Records("keyed.bootstrap/5") > 0
			}
			d.eventually("the copies are written", copies)
			d.stop()
			d.eventually("it ends", func() bool { return strings.Contains(d.log.String(), `"stopped"`) })
			set := map[string]func(string, bool){"down": d.store.SetTopicDown, "silent": d.store.SetTopicSilent}[away]
			for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.bootstrap/11"} {
				set(topic, true)
			}
			d.settings.FirstStart = false
			d.settings.Self.ID = "without memory"
			for _, address := range []*string{&d.settings.Self.Address, &d.settings.Self.PeerAddress, &d.settings.ReadyAddress, &d.settings.DirectoryAddress} {
				*address = freeAddress(t)
			}
			began := time.Now()
			d.start()
			d.eventually("served from the copy", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "c", "k", "").status == http.StatusOK })
			if took := time.Since(began); took > bound {
				t.Errorf("served %v after the start", took)
			}
			is.Equal(d.sendRequest(http.MethodGet, "/look/1", "c2", "old", "").status, http.StatusUnauthorized)
			d.eventually("logged", func() bool { return strings.Contains(d.log.String(), `"started_from_copy"`) })

			// What the copy does not know is in force once the partitions are back.
			d.store.Put("keyed.op", "config", config(3, 2000, "new"))
			d.store.Put("keyed.servers", "p0", nil)
			p9 := &userplatform.PlainServer{ID: "p9", Runs: d.runs}
			d.store.Put("keyed.servers", p9.ID, p9.Entry("127.0.0.1:1", "ready", 6, 5000))
			for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.bootstrap/11"} {
				set(topic, false)
			}
			d.eventually("the next version is in force", func() bool {
				return d.sendRequest(http.MethodGet, "/look/1", "n", "new", "").status == http.StatusOK &&
					d.sendRequest(http.MethodGet, "/look/1", "n", "k", "").status == http.StatusUnauthorized
			})
			for upstream, reasons := range map[string][]string{"p0": {"removed", "lapsed"}, "p9": {"listed"}} {
				d.eventually(upstream, func() bool {
					for _, reason := range reasons {
						for line := range strings.Lines(d.log.String()) {
							if strings.Contains(line, fmt.Sprintf(`"upstream":%q`, upstream)) && strings.Contains(line, fmt.Sprintf(`"reason":%q`, reason)) {
								return true
							}
						}
					}
					return false
				})
			}
		})
	}
}
