package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// arrivals records the times at which requests reached a server.
type arrivals struct {
	mu   sync.Mutex
	list []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, time.Now())
}

// last returns the time of the last arrival.
func (a *arrivals) last() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list[len(a.list)-1]
}

// countBetween counts the arrivals between two times.
func (a *arrivals) countBetween(from, to time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.list {
		if t.After(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// recordArrivals records the requests and probes that reach a plain server.
func (d *deployment) recordArrivals(p *userplatform.PlainServer) *arrivals {
	a := &arrivals{}
	p.OnRequest = func(string) { a.add() }
	p.OnProbe = a.add
	return a
}

// lookUpUntil sends lookups, each with a new id, until a condition holds.
func (d *deployment) lookUpUntil(prefix string, until func(reply) bool) {
	d.t.Helper()
	n := 0
	d.eventually(prefix, func() bool {
		n++
		return until(d.sendRequest(http.MethodGet, "/look/1", fmt.Sprintf("%s%d", prefix, n), "k", ""))
	})
}

// TestServerAnnouncesItsEnd: a server that announced its end in an answer gets no further
// request, although the store is unavailable and its entry still says "ready". This includes
// requests from a VM that learns of it from another one and from a VM that starts later.
func TestServerAnnouncesItsEnd(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	at := d.recordArrivals(d.plain[0])
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	second := d.settingsForVM("vn")
	d.startVM(second)
	d.lookUpUntil("served", func(r reply) bool { return r.status == http.StatusOK })
	d.eventually("the VMs know each other", func() bool { return strings.Count(d.log.String(), `"member_joined"`) >= 2 })
	d.plain[0].SetLeaving(true)
	d.lookUpUntil("leaving", func(r reply) bool { return r.header.Get("Server-Leaving") != "" })
	announcedAt := time.Now()
	d.store.SetDown(true)
	d.eventually("the other VM hears of it", func() bool { return strings.Count(d.log.String(), `"reason":"leaves"`) >= 2 })
	first := d.settings
	ask := func(prefix string) {
		for i := range 20 {
			is.Equal(d.sendRequest(http.MethodGet, "/look/1", prefix+strconv.Itoa(i), "k", "").status, http.StatusOK)
		}
	}
	ask("own")
	d.settings = second
	ask("other")
	d.settings = first
	d.store.SetDown(false)
	third := d.settingsForVM("vo")
	d.startVM(third)
	d.settings = third
	d.lookUpUntil("third", func(r reply) bool { return r.status == http.StatusOK })
	ask("late")
	is.Equal(at.countBetween(announcedAt.Add(2*time.Second), time.Now()), 0) // drain_ms
}

// TestEngineAnnouncesItsEnd: streams continue on other engines, and the layers of the ending
// engine are placed again.
func TestEngineAnnouncesItsEnd(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.settings.Bounds.MinDrain = 500 * time.Millisecond
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	at := map[string]*arrivals{}
	for _, e := range d.engines {
		a := &arrivals{}
		at[e.ID] = a
		e.OnRequest = func(path string) {
			if path == "part" {
				a.add()
			}
		}
	}
	d.start()
	d.eventually("layers are placed", func() bool { return d.canGenerate("g" + strconv.Itoa(time.Now().Nanosecond())) })
	var leaving []string
	for _, e := range d.engines {
		if first, end := e.Layers(); first == 0 && end > 0 {
			e.SetLeaving(true)
			leaving = append(leaving, e.ID)
		}
	}
	is.True(len(leaving) > 0)
	d.eventually("it is heard", func() bool {
		d.canGenerate("l" + strconv.Itoa(time.Now().Nanosecond()))
		return strings.Count(d.log.String(), `"reason":"leaves"`) >= len(leaving)
	})
	announcedAt := time.Now()
	d.eventually("the layers are served again", func() bool { return d.canGenerate("n" + strconv.Itoa(time.Now().Nanosecond())) })
	for i := range 20 {
		is.True(d.canGenerate(fmt.Sprintf("after%d", i)))
	}
	for _, id := range leaving {
		is.Equal(at[id].countBetween(announcedAt.Add(500*time.Millisecond), time.Now()), 0)
	}
}

// TestServerThatAsksForAPause: during the pause the server gets at most the two requests,
// including probes, that may be in flight when it asks. Other servers take over meanwhile,
// and it is used again afterwards.
func TestServerThatAsksForAPause(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	at := d.recordArrivals(d.plain[0])
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.lookUpUntil("served", func(r reply) bool { return r.status == http.StatusOK })
	d.plain[0].SetPause("1.5")
	d.plain[0].SetFault("shed")
	d.eventually("it asks for a pause", func() bool {
		d.sendRequest(http.MethodGet, "/look/1", "p"+strconv.Itoa(time.Now().Nanosecond()), "k", "")
		return strings.Contains(d.log.String(), `"upstream_paused"`)
	})
	asked := at.last() // the pause starts with the server's answer, not when the log is read
	t.Logf("the log was read %v after the request that was refused", time.Since(asked))
	d.plain[0].SetFault("")
	n := 0
	for time.Since(asked) < 1400*time.Millisecond {
		n++
		is.Equal(d.sendRequest(http.MethodGet, "/look/1", fmt.Sprintf("m%d", n), "k", "").status, http.StatusOK)
	}
	is.True(n > 10)
	is.True(at.countBetween(asked.Add(500*time.Millisecond), asked.Add(1500*time.Millisecond)) <= 2)
	d.eventually("it is used again", func() bool {
		d.sendRequest(http.MethodGet, "/look/1", "r"+strconv.Itoa(time.Now().Nanosecond()), "k", "")
		return at.countBetween(asked.Add(1500*time.Millisecond), time.Now()) > 0
	})
}

// TestAllServersAskForAPause: a booking is refused at once with the end of the first pause
// as its retry time, and has not run. After the pause it runs once.
func TestAllServersAskForAPause(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.lookUpUntil("served", func(r reply) bool { return r.status == http.StatusOK })
	d.plain[0].SetPause("30")
	d.plain[1].SetPause("2")
	for _, p := range d.plain {
		p.SetFault("shed")
	}
	n := 0
	d.eventually("both ask for a pause", func() bool {
		n++
		d.sendRequest(http.MethodPost, "/book/1", fmt.Sprintf("s%d", n), "k", "x")
		return strings.Count(d.log.String(), `"upstream_paused"`) >= 2
	})
	for _, p := range d.plain {
		p.SetFault("")
	}
	began := time.Now()
	got := d.sendRequest(http.MethodPost, "/book/1", "booking", "k", "x")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < time.Second)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0.1 && after < 3)
	is.Equal(d.runs.Count("booking"), 0)
	d.eventually("the first pause ends", func() bool {
		n++
		return d.sendRequest(http.MethodPost, "/book/1", fmt.Sprintf("s%d", n), "k", "x").status == http.StatusOK
	})
	is.Equal(d.runs.Count(fmt.Sprintf("s%d", n)), 1)
}

// TestEnginesThatAskForAPause: when every chain needs a paused engine, callers are refused
// at once with the end of the pause, and no layers are moved because of it.
func TestEnginesThatAskForAPause(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("layers are placed", func() bool { return d.canGenerate("g" + strconv.Itoa(time.Now().Nanosecond())) })
	layers := map[string][2]int{}
	for _, e := range d.engines {
		first, end := e.Layers()
		layers[e.ID] = [2]int{first, end}
		e.SetPause("2")
		e.SetShedding(true)
	}
	n := 0
	refused := reply{}
	d.eventually("all first engines ask for a pause", func() bool {
		n++
		began := time.Now()
		refused = d.sendRequest(http.MethodPost, "/gen/x", fmt.Sprintf("s%d", n), "k", "prompt")
		return refused.status == http.StatusServiceUnavailable && time.Since(began) < 100*time.Millisecond &&
			strings.Contains(d.log.String(), "servers ask for a pause")
	})
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after < 2.5)
	for _, e := range d.engines {
		e.SetShedding(false)
	}
	d.eventually("served after the pause", func() bool { n++; return d.canGenerate(fmt.Sprintf("s%d", n)) })
	for _, e := range d.engines {
		first, end := e.Layers()
		is.Equal([2]int{first, end}, layers[e.ID])
	}
}
