package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// stopGrace is shorter than largeAnswer.Deadline, so that a stopping VM does not expect the largest
// answer to end before its exit, and far longer than any stream here.
const stopGrace = 12 * time.Second

// largeAnswer is a request whose largest answer outlasts each grace time.
var largeAnswer = userplatform.CallerRequest{Key: "k", Deadline: 20 * time.Second, MaxTokens: 1_000_000}

// deployStopping returns a running deployment whose VM has a grace time of stopGrace. onPart is called
// whenever a part of a chain arrives at an engine.
func deployStopping(t *testing.T, onPart func(d *deployment), options ...func(d *deployment)) *deployment {
	t.Helper()
	stopping := func(d *deployment) {
		d.settings.Bounds.Grace, d.settings.Bounds.MinDrain = stopGrace, 500*time.Millisecond
		for _, e := range d.engines {
			e.OnRequest = func(path string) {
				if path == "part" {
					onPart(d)
				}
			}
		}
	}
	return deployStreams(t, 15*time.Millisecond, append([]func(d *deployment){stopping}, options...)...)
}

// orderStop orders the VM to stop and waits until it does.
func (d *deployment) orderStop() {
	d.stop()
	d.eventually("the VM stops", func() bool { return d.logged(`"drain_started"`) })
}

func (d *deployment) setShedding(shedding bool) {
	for _, e := range d.engines {
		e.SetShedding(shedding)
	}
}

// TestStreamOutlivesItsEngineOnAStoppingVM guards against a stream that a stopping VM breaks off when
// the first engine of its chain ends, although another run could complete it long before the exit.
func TestStreamOutlivesItsEngineOnAStoppingVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deployStopping(t, func(*deployment) {})
	s := d.openStreamOf("s", largeAnswer)
	d.orderStop()
	s.first.CloseConnections()
	d.checkWhole(s)
	is.Equal(d.runs.Count(s.id), 2)
}

// TestStreamOutlivesARefusedMoveOnAStoppingVM guards against a stream that a stopping VM takes from an
// engine that is about to end and then breaks off because the next chain refuses it.
func TestStreamOutlivesARefusedMoveOnAStoppingVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var refuses atomic.Bool
	d := deployStopping(t, func(d *deployment) {
		if refuses.CompareAndSwap(true, false) {
			d.orderStop() // this part is still refused
			d.setShedding(false)
		}
	})
	s := d.openStreamOf("s", largeAnswer)
	d.setShedding(true)
	refuses.Store(true)
	d.announceEnd(s)
	d.checkWhole(s)
	is.True(d.logged(`"move_refused"`, requestField(s.id)))
	is.Equal(d.runs.Count(s.id), 2)
}

// TestStreamOutlivesAMoveOnAStoppingVM guards against a stream that a stopping VM takes from an engine
// that is about to end, as another run is expected to end in time, and then breaks off, as it is not.
// The two expectations differ by the time that the first run took for a token, which is a hundred times
// what the configuration states.
func TestStreamOutlivesAMoveOnAStoppingVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deployStopping(t, func(*deployment) {})
	r := largeAnswer
	r.MaxTokens = 5000
	s := d.openStreamOf("s", r)
	d.orderStop()
	d.announceEnd(s)
	d.checkWhole(s)
	is.True(d.logged(`"run_moved"`, requestField(s.id), "about to end"))
	is.Equal(d.runs.Count(s.id), 2)
}

// TestStoppingVMRefusesWhatItHasNotBegun guards against a generation that a stopping VM begins, although
// its caller has got nothing of it and the exit may cut it. It arrives before the VM is ordered to stop, and its
// first chain refuses it afterwards.
func TestStoppingVMRefusesWhatItHasNotBegun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var refuses atomic.Bool
	d := deployStopping(t, func(d *deployment) {
		if refuses.CompareAndSwap(true, false) {
			d.orderStop()
			d.setShedding(false)
		}
	})
	d.eventually("a stream runs", func() bool { return d.canResume("g" + strconv.Itoa(time.Now().Nanosecond())) })
	d.setShedding(true)
	refuses.Store(true)
	r := d.sendGeneration("refused", largeAnswer.MaxTokens, 0)
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(d.runs.Count("refused"), 0)
	is.True(d.logged(`"drain_started"`) && !d.logged(`"drain_ended"`))
}

// canResume reports whether the last event of a stream is served.
func (d *deployment) canResume(id string) bool {
	return d.sendGeneration(id, longStream, longStream-1).status == http.StatusOK
}

// TestStoppingVMBeginsNoFurtherRunOfNothing guards against a further run of a generation on a stopping
// VM, or the statement that it has not run, if its first run was cut before the caller got anything.
func TestStoppingVMBeginsNoFurtherRunOfNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deployStopping(t, func(*deployment) {})
	d.eventually("a stream runs", func() bool { return d.canResume("g" + strconv.Itoa(time.Now().Nanosecond())) })
	holdStreams := func(hold bool) { // before their first event
		for _, e := range d.engines {
			if first, _ := e.Layers(); first > 0 {
				e.SetDark(hold)
			}
		}
	}
	holdStreams(true)
	answer := make(chan reply, 1)
	go func() { answer <- d.sendGeneration("cut", largeAnswer.MaxTokens, 0) }()
	d.eventually("it runs", func() bool { return d.runs.Count("cut") == 1 })
	d.orderStop()
	for _, e := range d.engines {
		if first, _ := e.Layers(); first == 0 {
			e.CloseConnections()
		}
	}
	holdStreams(false)
	r := <-answer
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(d.runs.Count("cut"), 1)
}

// TestExitAnswersWhatIsInFlight guards against callers that only see their connection close when a
// stopping VM exits, against a log that doesn't say what became of their requests, and against a VM that
// outlasts its grace time for a stream without an end. A stream that the exit cuts goes on at another VM.
func TestExitAnswersWhatIsInFlight(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const grace, events = 4 * time.Second, 1_000_000
	d := deploy(t)
	d.settings.Bounds.Grace = grace
	for _, e := range d.engines {
		e.EventCount, e.EventInterval = events, 20*time.Millisecond
	}
	d.store.Put("keyed.op", "config", config(1, 10_000, "k"))
	d.start()
	stop, ended := d.stop, d.ended
	second := d.settingsForVM("vn")
	d.startVM(second)
	d.eventually("layers are placed", d.allHoldLayers)
	s := d.openStreamOf("s", largeAnswer)
	hangs := make(chan reply, 1)
	for _, p := range d.plain {
		p.SetFault("hang")
	}
	go func() { hangs <- d.sendRequest(http.MethodPost, "/book/1", "b", "k", "x") }()
	d.eventually("the booking runs", func() bool { return d.runs.Count("b") == 1 })
	ordered := time.Now()
	stop()
	booking := <-hangs
	is.NoErr(booking.err)
	is.Equal(booking.status, http.StatusBadGateway)
	err := <-ended
	is.NoErr(err)
	is.True(time.Since(ordered) < grace)
	ended <- err // for the end of the test
	cut := <-s.done
	is.True(cut.err != nil) // not complete
	is.True(d.logged(`"stream_broken"`, requestField(s.id), "this VM exits"))
	got := strings.Count(cut.body, "\n\n")
	checkStream(t, cut.body, 1, got)
	is.True(got < events)

	d.settings = second
	ending := userplatform.Ending{Streams: &atomic.Int32{}, Events: 10}
	ending.Streams.Store(1)
	for _, e := range d.engines {
		e.SetEnding(ending)
	}
	var rest reply
	d.eventually("the other VM serves it", func() bool {
		rest = d.sendGeneration("rest"+strconv.Itoa(time.Now().Nanosecond()), largeAnswer.MaxTokens, got)
		return rest.status == http.StatusOK
	})
	is.NoErr(rest.err)
	checkStream(t, rest.body, got+1, got+10)
}
