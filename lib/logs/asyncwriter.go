package logs

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/ring"
)

// closeTimeout is how long Close waits until the last lines are written.
const closeTimeout = 300 * time.Millisecond

// AsyncWriter is a writer that never blocks: while its target is too slow and the queue is full, lines are dropped
// and counted.
type AsyncWriter struct {
	done          chan struct{}
	lines         *ring.Ring[[]byte]
	reportedDrops uint64 // number of drops that have been reported
	target        io.Writer
}

// NewAsyncWriter starts a writer that queues up to capacity lines for target.
func NewAsyncWriter(target io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{done: make(chan struct{}), lines: ring.New[[]byte](capacity), target: target}
	go w.run()
	return w
}

// Write queues a copy of one line and always reports success.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.lines.Push(bytes.Clone(line))
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.lines.Dropped() }

// Close writes the queued lines and stops the writer; it waits only a short time for a target that blocks.
func (w *AsyncWriter) Close() {
	w.lines.Close()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		line, ok := w.lines.Pop()
		if !ok {
			return
		}
		if _, err := w.target.Write(line); err != nil {
			return // There is no other place to log the error.
		}
		w.logDrops()
	}
}

// logDrops reports lines that were dropped since the last report.
func (w *AsyncWriter) logDrops() {
	dropped := w.lines.Dropped()
	if dropped == w.reportedDrops {
		return
	}
	_, _ = fmt.Fprintf(w.target, "level=warn msg=\"logs: Lines were dropped.\" lines=%d\n", dropped-w.reportedDrops)
	w.reportedDrops = dropped
}

var _ io.Writer = (*AsyncWriter)(nil)
