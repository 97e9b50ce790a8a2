package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// plainFleet is a set of plain servers that end as they begin to run a request of /look/crash or
// /book/crash.
type plainFleet struct {
	d     *deployment
	ended atomic.Int64
	mu    sync.Mutex
	up    []*httptest.Server
}

// newPlainFleet replaces the plain servers of a deployment. A sound request takes work.
func newPlainFleet(d *deployment, servers int, work time.Duration) *plainFleet {
	f := &plainFleet{d: d}
	for _, p := range d.plain {
		d.store.Put("keyed.servers", p.ID, nil)
	}
	for i := range servers {
		p := &userplatform.PlainServer{ID: fmt.Sprintf("c%d", i), Runs: d.runs}
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/crash") {
				f.end(s)
				panic(http.ErrAbortHandler)
			}
			if strings.HasPrefix(r.URL.Path, "/look/") {
				select {
				case <-time.After(work):
				case <-r.Context().Done():
				}
			}
			p.ServeHTTP(w, r)
		}))
		f.up = append(f.up, s)
		d.t.Cleanup(s.Close)
		d.store.Put("keyed.servers", p.ID, p.Entry(s.Listener.Addr().String(), "ready", 20, 1000))
	}
	return f
}

// end ends the process of a server: its port is closed and its connections break.
func (f *plainFleet) end(s *httptest.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.up, s); i >= 0 {
		f.up = slices.Delete(f.up, i, i+1)
		f.ended.Add(1)
		_ = s.Listener.Close()
		go s.CloseClientConnections()
	}
}

// TestCrashingRequestEndsTwoPlainServers guards against a request that ends all servers of a plain
// service within milliseconds: the VM sent it to the next server at once, and its caller repeated it
// at the next VM, which had not heard of it.
func TestCrashingRequestEndsTwoPlainServers(t *testing.T) {
	for _, vms := range []int{1, 4} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			f := newPlainFleet(d, 8, 0)
			d.store.Put("keyed.op", "config", config(1, 2000, "k"))
			addresses := d.startVMs(vms)
			for range 3 {
				for i := range 4 { // the caller repeats a failed request at the next VM at once
					d.settings.Self.Address = addresses[i%vms]
					if got := d.sendRequest(http.MethodGet, "/look/crash", fmt.Sprintf("c%d", time.Now().UnixNano()), "k", ""); got.status == http.StatusOK {
						t.Error("a server answered")
					}
				}
			}
			if ended := f.ended.Load(); ended < 1 || ended > 2 {
				t.Errorf("%d servers ended, want 1 or 2", ended)
			}
		})
	}
}

// TestSoundRequestsOutliveAPlainServer is the opposite of TestCrashingRequestEndsTwoPlainServers: a
// server ends for another reason with requests that may be repeated. Guards against those that are
// refused or not answered by another server in time, and against a wait after a server that only broke
// a connection off.
func TestSoundRequestsOutliveAPlainServer(t *testing.T) {
	t.Parallel()
	const requests = 24
	is := is.New(t)
	d := deploy(t)
	f := newPlainFleet(d, 6, 300*time.Millisecond)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	addresses := d.startVMs(2)
	var callers sync.WaitGroup
	var served atomic.Int64
	for i := range requests {
		callers.Go(func() {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s/look/%d", addresses[i%2], i), nil)
			is.NoErr(err)
			r.Host = "h.example"
			r.Header.Set("Request-Id", fmt.Sprint("r", i))
			r.Header.Set("Deadline-Milliseconds", "2000")
			r.Header.Set("Authorization", "Bearer k")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // all run
	f.end(f.up[0])
	callers.Wait()
	is.Equal(served.Load(), int64(requests))
	is.True(strings.Contains(d.log.String(), `"run_broken"`))
}

// TestCrashesOutliveAReplacedFleet guards against a request that crashes servers for ever, since all VMs
// that have seen its crashes are stopped in turn before these suffice for a verdict.
func TestCrashesOutliveAReplacedFleet(t *testing.T) {
	t.Parallel()
	const comings, maxEnded = 5, 3
	d := deploy(t)
	d.settings.FirstStart = false
	f := newPlainFleet(d, comings+1, 0)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	type runningVM struct {
		seed, address string
		stop          func()
		ended         chan error
	}
	start := func(id, seed string) runningVM {
		s := d.settings
		if id != "vm" {
			s = d.settingsForVM(id)
			s.Seeds = []string{seed}
		}
		d.startVM(s)
		vm := runningVM{s.Self.PeerAddress, s.Self.Address, d.stop, d.ended}
		d.settings.Self.Address = vm.address
		d.eventually(id+" serves", func() bool {
			return d.sendRequest(http.MethodPost, "/book/1", fmt.Sprint(id, time.Now().UnixNano()), "k", "x").status == http.StatusOK
		})
		return vm
	}
	vm := start("vm", "")
	for n := range comings {
		d.settings.Self.Address = vm.address
		if got := d.sendRequest(http.MethodPost, "/book/crash", fmt.Sprint("c", n), "k", "x"); got.status == http.StatusOK {
			t.Error("a server answered")
		}
		time.Sleep(1500 * time.Millisecond)
		next := start(fmt.Sprint("vm", n+1), vm.seed)
		vm.stop()
		vm.ended <- <-vm.ended // also awaited at the end of the test
		vm = next
		time.Sleep(4500 * time.Millisecond) // a trial is due
	}
	if ended := f.ended.Load(); ended < 1 || ended > maxEnded {
		t.Errorf("%d servers ended, want 1 to %d", ended, maxEnded)
	}
}
