package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
	"github.com/cornelline/cornelline/platform"
)

// The platform's rule for a prompt part that crashes engines.
const (
	// settleWindow is the time after which the VMs must act on what they have seen.
	settleWindow = 3 * time.Second
	// crashesBeforeBlame is the number of crashes after which that time begins.
	crashesBeforeBlame = 5
	// allowedArrivals is the number of requests with the part that may still reach engines.
	allowedArrivals = 3
)

// crashingPart is the ID of the part that crashes engines, and soundParts are those of the requests
// that share everything else.
const crashingPart = "bad0"

var soundParts = []string{"a1", "b2", "c3"}

// crashWatch records the requests with the crashing part that reached engines.
type crashWatch struct {
	mu       sync.Mutex
	arrivals []time.Time
}

func (w *crashWatch) onArrival(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, time.Now())
}

// count returns the number of arrivals.
func (w *crashWatch) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrivals)
}

// lateArrivals returns the number of arrivals later than settleWindow after the fifth one.
func (w *crashWatch) lateArrivals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.arrivals) < crashesBeforeBlame {
		return 0
	}
	from := w.arrivals[crashesBeforeBlame-1].Add(settleWindow)
	return len(w.arrivals) - slices.IndexFunc(append(w.arrivals, from.Add(time.Nanosecond)), from.Before)
}

// deployCrashing returns a deployment with engines that crash on crashingPart and are back after a
// while.
func deployCrashing(t *testing.T, engines int) (*deployment, *crashWatch) {
	t.Helper()
	d, w := deploy(t), &crashWatch{}
	for i := len(d.engines); i < engines; i++ {
		d.addEngine(fmt.Sprintf("e%d", i))
	}
	for _, e := range d.engines {
		e.SetCrash(userplatform.Crash{Part: crashingPart, Down: 700 * time.Millisecond, OnArrival: w.onArrival})
	}
	d.store.Put("keyed.op", "config", config(1, 5000, "k"))
	return d, w
}

// sendParts sends a generation with the given shared parts to a VM and reports whether it was served.
func (d *deployment) sendParts(ctx context.Context, address, id string, parts []string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/gen/x", strings.NewReader("prompt "+id))
	if err != nil {
		d.t.Error(err)
		return false
	}
	prefix := ""
	for _, p := range parts {
		prefix += p + ":100,"
	}
	userplatform.CallerRequest{ID: id, Key: "k", Deadline: 5 * time.Second, PromptParts: prefix + "own" + id + ":20"}.SetHeaders(r)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// withCrashingPart returns soundParts with the crashing part at one place.
func withCrashingPart(place int) []string {
	parts := slices.Clone(soundParts)
	parts[place] = crashingPart
	return parts
}

// flood sends ten requests a second with each of the given lists of parts for a time, spread over the
// VMs. done is called with the time since the start and the list's index for each request.
func (d *deployment) flood(addresses []string, length time.Duration, lists [][]string, done func(sent time.Duration, list int, served bool)) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	began, name := time.Now(), strconv.FormatInt(time.Now().UnixNano(), 36)
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		sent := time.Since(began)
		if sent > length {
			return
		}
		for list, parts := range lists {
			open.Go(func() {
				id := fmt.Sprintf("%sr%dn%d", name, list, n)
				served := d.sendParts(d.t.Context(), addresses[(n+list)%len(addresses)], id, parts)
				done(sent, list, served)
			})
		}
		select {
		case <-ticker.C:
		case <-d.t.Context().Done():
			return
		}
	}
}

// startVMs starts a number of VMs and returns the addresses at which they serve generations.
func (d *deployment) startVMs(count int) []string {
	d.t.Helper()
	d.start()
	addresses := []string{d.settings.Self.Address}
	for i := 1; i < count; i++ {
		addresses = append(addresses, d.startFurtherVM(fmt.Sprintf("vm%d", i)).Self.Address)
	}
	for i, address := range addresses {
		n := 0
		d.eventually("generations are served", func() bool {
			n++
			return d.sendParts(d.t.Context(), address, fmt.Sprintf("first%d-%d", i, n), soundParts)
		})
	}
	return addresses
}

// startFurtherVM starts one more VM.
func (d *deployment) startFurtherVM(id string) platform.Settings {
	d.t.Helper()
	s := d.settingsForVM(id)
	d.startVM(s)
	return s
}

// checkArrivals fails if more requests with the crashing part reached engines than the rule allows.
func (w *crashWatch) checkArrivals(t *testing.T) {
	t.Helper()
	if late := w.lateArrivals(); late > allowedArrivals {
		t.Errorf("%d requests with the crashing part reached engines later than %v after the fifth crash, %d in all; at most %d may",
			late, settleWindow, w.count(), allowedArrivals)
	}
}

// TestPartThatCrashesEnginesIsRefused guards against requests that share one prompt part and nothing
// else and crash engine after engine, and against refusing the sound requests that share the rest.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	const length = 20 * time.Second
	for _, c := range []struct{ place, vms int }{{0, 1}, {1, 1}, {2, 2}, {1, 3}} {
		t.Run(fmt.Sprintf("place %d, %d VMs", c.place, c.vms), func(t *testing.T) {
			t.Parallel()
			d, w := deployCrashing(t, 24)
			t.Cleanup(func() { d.dumpOnFailure("crash_cause_found") })
			addresses := d.startVMs(c.vms)
			type result struct {
				at     time.Time
				served bool
			}
			var mu sync.Mutex
			var sound []result
			began := time.Now()
			d.flood(addresses, length, [][]string{withCrashingPart(c.place), soundParts}, func(sent time.Duration, list int, served bool) {
				if list == 1 {
					mu.Lock()
					defer mu.Unlock()
					sound = append(sound, result{began.Add(sent), served})
				}
			})
			if w.count() < 1 {
				t.Fatal("no request crashed an engine")
			}
			w.checkArrivals(t)
			from := w.arrivals[min(len(w.arrivals), crashesBeforeBlame)-1].Add(2 * settleWindow)
			sent, served := 0, 0
			for _, r := range sound {
				if r.at.After(from) {
					sent++
					if r.served {
						served++
					}
				}
			}
			t.Logf("%d crashes, %d late; %d of %d sound requests served", w.count(), w.lateArrivals(), served, sent)
			if sent < 20 || 2*served < sent {
				t.Errorf("%d of %d sound requests were served; at least half must be, of 20 or more", served, sent)
			}
		})
	}
}

// TestEngineCrashesAloneBlameNoPart guards against refusing a part that a whole team shares when
// engines crash for another reason.
func TestEngineCrashesAloneBlameNoPart(t *testing.T) {
	t.Parallel()
	d, _ := deployCrashing(t, 24)
	addresses := d.startVMs(2)
	var mu sync.Mutex
	sent, served := 0, 0
	crashed := 0
	for _, e := range d.engines {
		if first, _ := e.Layers(); first == 0 && crashed < 9 {
			crashed++
			time.AfterFunc(time.Duration(crashed)*500*time.Millisecond, func() {
				e.CrashWithin(300*time.Millisecond, 700*time.Millisecond) // all are back when requests begin to count
			})
		}
	}
	d.flood(addresses, 9*time.Second, [][]string{{"a1"}, soundParts}, func(at time.Duration, _ int, ok bool) {
		if at > 6*time.Second {
			mu.Lock()
			defer mu.Unlock()
			sent++
			if ok {
				served++
			}
		}
	})
	t.Logf("%d engines crashed; %d of %d served", crashed, served, sent)
	if crashed < crashesBeforeBlame {
		t.Errorf("only %d engines crashed", crashed)
	}
	if served < sent {
		t.Errorf("%d of %d requests were served after the crashes", served, sent)
	}
}

// TestStartingVMRefusesCrashingPart guards against a VM that starts after the crashes and sends
// requests with the part to engines again.
func TestStartingVMRefusesCrashingPart(t *testing.T) {
	t.Parallel()
	d, w := deployCrashing(t, 24)
	addresses := d.startVMs(2)
	crashing := [][]string{withCrashingPart(1)}
	ignore := func(time.Duration, int, bool) {}
	d.flood(addresses, 6*time.Second, crashing, ignore)
	late := d.startFurtherVM("late").Self.Address
	n := 0
	d.eventually("the further VM serves", func() bool {
		n++
		return d.sendParts(t.Context(), late, fmt.Sprintf("late%d", n), soundParts)
	})
	d.flood([]string{late}, 5*time.Second, crashing, ignore)
	w.checkArrivals(t)
}

// TestCrashingPartIsRememberedByTheStore guards against a fleet that has lost all its VMs and sends
// requests with the part to engines again.
func TestCrashingPartIsRememberedByTheStore(t *testing.T) {
	t.Parallel()
	d, w := deployCrashing(t, 24)
	addresses := d.startVMs(1)
	crashing := [][]string{withCrashingPart(1)}
	ignore := func(time.Duration, int, bool) {}
	d.flood(addresses, 6*time.Second, crashing, ignore)
	d.stop()
	err := <-d.ended
	d.ended <- err // the cleanup waits for it
	if err != nil {
		t.Fatal(err)
	}
	d.settings = d.settingsForVM("next")
	d.settings.Seeds = nil
	addresses = d.startVMs(1)
	d.flood(addresses, 5*time.Second, crashing, ignore)
	w.checkArrivals(t)
}

// dumpOnFailure prints the log lines that contain one of the given words if the test has failed.
func (d *deployment) dumpOnFailure(words ...string) {
	if !d.t.Failed() {
		return
	}
	for line := range strings.SplitSeq(d.log.String(), "\n") {
		if slices.ContainsFunc(words, func(w string) bool { return strings.Contains(line, w) }) {
			d.t.Log(line)
		}
	}
}
