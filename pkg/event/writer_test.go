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
