package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cornelline/cornelline/internal/testbed"
	"github.com/cornelline/cornelline/pkg/chat"
	"github.com/cornelline/cornelline/pkg/cli"
	"github.com/cornelline/cornelline/pkg/config"
	"github.com/cornelline/cornelline/pkg/entry"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/standin"
)

// hangTimeout ends a wait that hangs. No test result depends on its length.
const hangTimeout = 20 * time.Second

// testFleet is a deployment that runs in the test process over loopback.
type testFleet struct {
	*testbed.Deployment
	group *standin.Group
	stops []context.CancelFunc
	done  sync.WaitGroup
}

// shared is the deployment that all tests of this package use. Each test must leave it
// healthy.
var shared *testFleet

func TestMain(m *testing.M) {
	f, err := startFleet()
	if err != nil {
		panic(err)
	}
	shared = f
	code := m.Run()
	f.stop()
	os.Exit(code)
}

// startFleet starts the stand-ins and all entry VMs and puts the settings in force.
func startFleet() (*testFleet, error) {
	d, err := testbed.New()
	if err != nil {
		return nil, err
	}
	f := &testFleet{Deployment: d}
	if f.group, err = standin.Start(d.Standins, standin.ListenTCP, nil); err != nil {
		return nil, err
	}
	for i := range d.VMs {
		stop, err := f.startVM(d.VMs[i])
		if err != nil {
			return nil, err
		}
		f.stops = append(f.stops, stop)
	}
	return f, f.applySettings()
}

// startVM starts an entry VM. The returned function begins its planned stop.
func (f *testFleet) startVM(cfg config.Config) (context.CancelFunc, error) {
	server, err := entry.New(cfg, event.Discard())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.done.Go(func() { _ = server.Run(ctx) })
	return cancel, nil
}

func (f *testFleet) stop() {
	for _, cancel := range f.stops {
		cancel()
	}
	f.done.Wait()
	f.group.Close()
}

// applySettings writes the settings through the first VM and waits until the keys of the
// teams are in force and all engines are ready on every VM.
func (f *testFleet) applySettings() error {
	data, err := f.Settings()
	if err != nil {
		return err
	}
	branches, err := cli.DecodeBranches(data)
	if err != nil {
		return err
	}
	poll(func() bool { return f.get(0, "/readyz", "").status == http.StatusOK })
	for _, b := range branches {
		f.send(0, http.MethodPut, "/v1/settings/"+b.Path, testbed.OperatorKey, http.Header{"If-Match": {`"0"`}}, b.Value)
	}
	for i := range f.VMs {
		for _, key := range []string{testbed.TeamKey, testbed.OtherTeamKey} { // an unknown key gets 401
			poll(func() bool { return f.get(i, "/v1/status", key).status == http.StatusForbidden })
		}
		poll(func() bool { return f.readyEngines(i) == len(f.Standins.Engines) })
	}
	return nil
}

// readyEngines returns the number of engines that are ready and not ejected on a VM.
func (f *testFleet) readyEngines(vm int) int { return f.readyUpstreams(vm, "engine") }

// readyUpstreams is readyEngines for upstreams of a kind.
func (f *testFleet) readyUpstreams(vm int, kind string) int {
	var status struct {
		Upstreams []struct {
			Kind           string
			Ready, Ejected bool
		}
	}
	_ = json.Unmarshal(f.get(vm, "/v1/status", testbed.OperatorKey).body, &status)
	n := 0
	for _, u := range status.Upstreams {
		if u.Kind == kind && u.Ready && !u.Ejected {
			n++
		}
	}
	return n
}

// faults sets the faults of a stand-in. At the end of the test, all faults are cleared,
// and the test waits until every VM can use all engines again.
func (f *testFleet) faults(t *testing.T, id string, faults standin.Faults) {
	t.Helper()
	f.group.StandIns[id].SetFaults(faults)
	t.Cleanup(func() {
		for _, part := range f.group.StandIns {
			part.SetFaults(standin.Faults{})
		}
		for i := range f.VMs {
			waitFor(t, func() bool { return f.readyEngines(i) == len(f.Standins.Engines) })
		}
	})
}

// answer is an HTTP response, or the error of its request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// failure returns the error with its code that the body of an answer holds.
func (a answer) failure() chat.ErrorDetail {
	var body chat.ErrorBody
	_ = json.Unmarshal(a.body, &body)
	return body.Error
}

func (f *testFleet) get(vm int, path, key string) answer {
	return f.send(vm, http.MethodGet, path, key, nil, nil)
}

// send sends a request to a VM. A body that is not a []byte is encoded as JSON.
func (f *testFleet) send(vm int, method, path, key string, header http.Header, body any) answer {
	data, ok := body.([]byte)
	if !ok && body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+f.VMs[vm].Address+path, bytes.NewReader(data))
	if err != nil {
		return answer{err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, data, err}
}

// poll calls condition until it holds, and reports false after hangTimeout.
func poll(condition func() bool) bool {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	end := time.After(hangTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-end:
			return false
		}
	}
	return true
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	if !poll(condition) {
		t.Fatalf("timed out waiting for a condition; status of the first VM: %s", shared.get(0, "/v1/status", testbed.OperatorKey).body)
	}
}
