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

// blockingOutput is an output whose Write blocks until open is closed.
type blockingOutput struct {
	open chan struct{}
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *blockingOutput) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *blockingOutput) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// TestBlockedOutputDoesNotBlockWrite guards against a Write that blocks on a blocked output
// and against lines that are dropped without being counted and reported.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockingOutput{open: make(chan struct{})}
		w := event.NewWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 4096 { // four times the buffer; a Write that blocks fails the test
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

// TestLinesArriveInOrder guards against lost or reordered lines when the output does
// not block.
func TestLinesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockingOutput{open: make(chan struct{})}
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

// recordingOutput records each write.
type recordingOutput struct {
	mu   sync.Mutex
	list [][]byte
}

func (w *recordingOutput) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list, bytes.Clone(p))
	return len(p), nil
}

// TestWritesEndAtLineBoundaries guards against a write that ends within a line. A collector
// that merges the outputs of many processes may interleave writes, and also parts of a
// write larger than PIPE_BUF.
func TestWritesEndAtLineBoundaries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &recordingOutput{}
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
