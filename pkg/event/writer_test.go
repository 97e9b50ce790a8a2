package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/event"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *blocked) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// TestBlockedOutputHoldsNothing: lines beyond the buffer are dropped and counted,
// and the number is written once the output takes lines again.
func TestBlockedOutputHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blocked{open: make(chan struct{})}
		w := event.NewWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 4096 { // four times the buffer; a Write that blocked would end the test
			n, err := w.Write(line)
			is.NoErr(err)
			is.Equal(n, len(line))
		}
		is.True(w.Dropped() >= 1024)
		close(out.open)
		synctest.Wait()
		w.Close()
		is.True(strings.Contains(out.String(), `"name":"lines_dropped"`))
	})
}

// TestLinesArriveInOrder covers the usual case.
func TestLinesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blocked{open: make(chan struct{})}
		close(out.open)
		w := event.NewWriter(out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			is.NoErr(err)
		}
		w.Close()
		is.Equal(out.String(), "a\nb\nc\n")
		is.Equal(w.Dropped(), uint64(0))
	})
}

// writes records the single writes that an output gets.
type writes struct {
	mu   sync.Mutex
	list [][]byte
}

func (w *writes) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list, bytes.Clone(p))
	return len(p), nil
}

// TestWritesHoldWholeLines: a collector that merges the outputs of many processes tears
// what is larger than a pipe takes at once, so that each write ends with a line.
func TestWritesHoldWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &writes{}
		w := event.NewWriter(out)
		var want bytes.Buffer
		for i := range 200 {
			line := []byte(strings.Repeat("x", 1+i*7%900) + "\n")
			if i == 100 {
				line = []byte(strings.Repeat("y", 9000) + "\n") // longer than one write
			}
			want.Write(line)
			_, err := w.Write(line)
			is.NoErr(err)
		}
		w.Close()
		var got bytes.Buffer
		for _, p := range out.list {
			is.True(bytes.HasSuffix(p, []byte("\n")))
			is.True(len(p) <= 4096 || bytes.Count(p, []byte("\n")) == 1)
			got.Write(p)
		}
		is.Equal(got.String(), want.String())
	})
}
