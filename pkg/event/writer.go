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
	// maxBuffered is the size in bytes of the lines that may wait for a slow output. It
	// holds about 3,000 lines of about 300 bytes.
	maxBuffered = 1 << 20
	// flushInterval is the time for which lines are collected before they are written.
	flushInterval = 100 * time.Millisecond
)

// Writer writes lines to an output in its own goroutine, so that Write never blocks
// on the output. Lines that do not fit the buffer are dropped and counted. The number
// of dropped lines is written as a line of its own with the next flush.
type Writer struct {
	out          io.Writer
	mu           sync.Mutex
	buffer       bytes.Buffer
	unreported   uint64
	droppedTotal atomic.Uint64
	wake         chan struct{}
	stop         chan struct{}
	done         chan struct{}
	closeOnce    sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write adds one line to the buffer or drops it. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buffer.Len()+len(line) > maxBuffered {
		w.unreported++
		w.droppedTotal.Add(1)
		w.mu.Unlock()
		return len(line), nil
	}
	wasEmpty := w.buffer.Len() == 0
	w.buffer.Write(line)
	w.mu.Unlock()
	if wasEmpty {
		select {
		case w.wake <- struct{}{}:
		default: // a wake-up is already pending
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.droppedTotal.Load() }

// closeTimeout bounds how long Close waits for a blocked output.
const closeTimeout = 200 * time.Millisecond

// Close writes the buffered lines. It returns after closeTimeout even if the output
// still blocks.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
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
		case <-time.After(flushInterval):
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	dropped := w.unreported
	w.unreported = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"event\":%d,\"name\":%q,\"lines\":%d}\n", LinesDropped, LinesDropped.Name(), dropped)...)
	}
	for len(lines) > 0 {
		n := nextWriteSize(lines)
		_, _ = w.out.Write(lines[:n]) // there is no other output to report an error to
		lines = lines[n:]
	}
}

// maxAtomicWrite is the largest write to a pipe that the kernel does not interleave
// with those of other writers (PIPE_BUF on Linux). Lines within it stay whole in a
// collector that merges the outputs of several processes.
const maxAtomicWrite = 4096

// nextWriteSize returns the size in bytes of the complete lines at the start that fit
// into one atomic write, but of at least one line.
func nextWriteSize(lines []byte) int {
	if len(lines) <= maxAtomicWrite {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:maxAtomicWrite], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}
