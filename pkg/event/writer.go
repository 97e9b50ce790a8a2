package event

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writerBuffer bounds the lines that wait for a slow output. A line has about
	// 300 bytes, so that it holds some 3,000.
	writerBuffer = 1 << 20
	// writerInterval is the time in which lines are gathered for one write.
	writerInterval = 100 * time.Millisecond
)

// Writer passes lines on to an output from its own goroutine. Write never
// blocks: lines that do not fit the buffer are counted and dropped, and the
// number is written as a line of its own once there is room again.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped uint64
	total   atomic.Uint64
	wake    chan struct{}
	stop    chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write takes in one line. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buffer.Len()+len(line) > writerBuffer {
		w.dropped++
		w.total.Add(1)
		w.mu.Unlock()
		return len(line), nil
	}
	first := w.buffer.Len() == 0
	w.buffer.Write(line)
	w.mu.Unlock()
	if first {
		select {
		case w.wake <- struct{}{}:
		default: // the goroutine is awake already
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.total.Load() }

// closeTimeout bounds the wait for a blocked output at the end of the process.
const closeTimeout = 200 * time.Millisecond

// Close writes what waits, for a bounded time.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.stop:
			w.flush()
			return
		case <-time.After(writerInterval):
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"event\":%d,\"name\":%q,\"lines\":%d}\n", LinesDropped, LinesDropped.Name(), dropped)...)
	}
	for len(lines) > 0 {
		n := wholeLines(lines)
		_, _ = w.out.Write(lines[:n]) // an output that fails leaves nowhere to report it
		lines = lines[n:]
	}
}

// writeSize is the size up to which a write to a pipe is not torn by other writers
// (PIPE_BUF on Linux), so that a collector that merges outputs keeps lines whole.
const writeSize = 4096

// wholeLines returns the size of the lines at the start that fit one write, at least
// one line.
func wholeLines(lines []byte) int {
	if len(lines) <= writeSize {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:writeSize], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}
