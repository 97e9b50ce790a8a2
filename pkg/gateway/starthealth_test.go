package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/storewatch"
)

// TestStartedReaderTellsRemovalsAtOnce guards against an upstream without an entry that all VMs go on
// using for up to 2.5 s, as if the store were recovering from an outage, because the VM that reads the
// list for them has just started and got the list from another VM.
func TestStartedReaderTellsRemovalsAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	reader := ""
	for n := 0; reader == ""; n++ { // precedes the first VM, and so reads the list once it has started
		if id := fmt.Sprintf("vm-%d", n); storewatch.OrderKey(fleet.VMID(id)) < storewatch.OrderKey(d.settings.Self.ID) {
			reader = id
		}
	}
	d.startVM(d.settingsForVM(reader))
	gone := fmt.Sprintf(`"upstream":"%s"`, d.plain[0].ID)
	d.eventually("the new VM has the list", func() bool { return d.logged(`"vm":"`+reader+`"`, gone, `"listed"`) })
	d.store.Put("keyed.servers", d.plain[0].ID, nil)
	var ends []string
	d.eventually("both VMs know that the server has left", func() bool {
		ends = ends[:0]
		for line := range strings.Lines(d.log.String()) {
			if strings.Contains(line, gone) && (strings.Contains(line, `"removed"`) || strings.Contains(line, `"lapsed"`)) {
				ends = append(ends, line)
			}
		}
		return len(ends) == 2
	})
	for _, line := range ends {
		is.True(strings.Contains(line, `"removed"`)) // not kept for the time after an outage
	}
}
