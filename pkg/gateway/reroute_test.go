package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// longStream is the number of events of a stream that lasts while engines end.
const longStream = 300

// deployLong returns a running deployment whose streams last a few seconds.
func deployLong(t *testing.T) *deployment {
	t.Helper()
	return deployStreams(t, 10*time.Millisecond)
}

// deployStreams returns a running deployment whose streams have longStream events. The options apply
// before it starts.
func deployStreams(t *testing.T, eventInterval time.Duration, options ...func(d *deployment)) *deployment {
	t.Helper()
	d := deploy(t)
	for _, option := range options {
		option(d)
	}
	for _, e := range d.engines {
		e.EventCount, e.EventInterval = longStream, eventInterval
	}
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("layers are placed", d.allHoldLayers)
	return d
}

// allHoldLayers reports whether each engine holds layers.
func (d *deployment) allHoldLayers() bool {
	for _, e := range d.engines {
		if first, end := e.Layers(); end == first {
			return false
		}
	}
	return true
}

// openStream is a stream that is being read.
type openStream struct {
	id    string
	first *userplatform.Engine
	chain []string // addresses
	done  chan reply
}

// openStream starts a stream and waits until it has events.
func (d *deployment) openStream(id string) openStream {
	d.t.Helper()
	return d.openStreamOf(id, userplatform.CallerRequest{Key: "k", Deadline: 15 * time.Second})
}

// openStreamOf is openStream for a request without its ID.
func (d *deployment) openStreamOf(id string, request userplatform.CallerRequest) openStream {
	d.t.Helper()
	s := openStream{id: id, done: make(chan reply, 1)}
	for attempt := 0; ; attempt++ { // callers are refused until the VM knows the layers
		s.id = id + strconv.Itoa(attempt)
		r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.Self.Address+"/gen/x", strings.NewReader("prompt"))
		if err != nil {
			d.t.Fatal(err)
		}
		request.ID = s.id
		request.SetHeaders(r)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			d.t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK && attempt < 100 {
			resp.Body.Close()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		head := make([]byte, len(userplatform.Stream(1, 30)))
		if _, err := io.ReadFull(resp.Body, head); err != nil {
			d.t.Fatal(err)
		}
		go func() {
			defer resp.Body.Close()
			rest, err := io.ReadAll(resp.Body)
			s.done <- reply{status: resp.StatusCode, body: string(head) + string(rest), err: err}
		}()
		break
	}
	for _, e := range d.engines {
		if c := e.Chain(s.id); c != "" {
			s.first = e
			for part := range strings.SplitSeq(c, ",") {
				address, _, _ := strings.Cut(part, "=")
				s.chain = append(s.chain, address)
			}
		}
	}
	if s.first == nil || len(s.chain) < 2 {
		d.t.Fatalf("the chain of %s has no middle: %v", s.id, s.chain)
	}
	return s
}

// checkWhole fails unless a stream of longStream events ended whole and in order.
func (d *deployment) checkWhole(s openStream) {
	d.t.Helper()
	select {
	case got := <-s.done:
		if got.err != nil {
			d.t.Fatalf("%s: %v\n%s", s.id, got.err, d.log.String())
		}
		checkStream(d.t, got.body, 1, longStream)
	case <-time.After(20 * time.Second):
		d.t.Fatalf("%s does not end\n%s", s.id, d.log.String())
	}
}

// logged reports whether the log has a line that contains all of the texts.
func (d *deployment) logged(texts ...string) bool {
	for line := range strings.Lines(d.log.String()) {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return true
		}
	}
	return false
}

func requestField(id string) string { return fmt.Sprintf(`"request":"%s"`, id) }

// TestStreamOutlivesAnEngineOfItsChain guards against streams that start anew, with a second
// arrival at an engine and a retry from the shared budget, when an engine in the middle of their
// chain goes silent: the stream goes on over its connection, whole and in order.
func TestStreamOutlivesAnEngineOfItsChain(t *testing.T) {
	is := is.New(t)
	d := deployLong(t)
	s := d.openStream("s")
	arrivals := s.first.Arrivals()
	dark := d.engines[s.chain[len(s.chain)-1]]
	dark.SetDark(true)
	defer dark.SetDark(false)
	d.checkWhole(s)
	is.Equal(len(s.first.Repaths(s.id)), 1)
	is.True(!strings.Contains(s.first.Repaths(s.id)[0], dark.Address))
	is.Equal(s.first.Arrivals(), arrivals)
	is.Equal(d.runs.Count(s.id), 1)
	is.True(d.logged(`"run_rerouted"`, requestField(s.id), `"resumed"`))
	is.True(!d.logged(`"request_retried"`, requestField(s.id)))
}

// TestStreamThatCannotBeReroutedMoves guards against streams that wait in vain for a change of
// their path: if the first engine ends, if no other engine has room, or if the order is refused,
// lost or without effect, another run continues the stream, as before.
func TestStreamThatCannotBeReroutedMoves(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		firstEnds   bool
		full        bool
		result      string
	}{
		{name: "first engine ends", firstEnds: true},
		{name: "no room", full: true, result: "conflict"},
		{name: "run is gone", fault: "gone", result: "not_found"},
		{name: "higher token used", fault: "fenced", result: "fenced"},
		{name: "no effect", fault: "ignored", result: "no_event"},
		{name: "answer lost", fault: "lost", result: "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := deployLong(t)
			s := d.openStream("s")
			for _, e := range d.engines {
				e.SetRepathFault(c.fault)
				e.SetFull(c.full)
			}
			dark := d.engines[s.chain[len(s.chain)-1]]
			if c.firstEnds {
				dark = s.first
			}
			dark.SetDark(true)
			defer dark.SetDark(false)
			d.checkWhole(s)
			if c.result == "" {
				is.Equal(len(s.first.Repaths(s.id)), 0)
			} else {
				is.True(d.logged(`"run_rerouted"`, requestField(s.id), strconv.Quote(c.result)))
			}
			if c.fault != "lost" { // then the order may take effect before the move
				is.Equal(d.runs.Count(s.id), 2)
				is.True(d.logged(`"request_retried"`, requestField(s.id)) || d.logged(`"run_moved"`, requestField(s.id)))
			}
			is.True(len(s.first.Repaths(s.id)) <= 2)
		})
	}
}
