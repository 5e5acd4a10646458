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

// A Queue is a writer that never blocks: while its target is too slow and the queue is full, lines are dropped and
// counted.
type Queue struct {
	done          chan struct{}
	lines         *ring.Ring[[]byte]
	reportedDrops uint64 // drops that a line has reported
	target        io.Writer
}

// NewQueue starts a queue of up to capacity lines that are written to target.
func NewQueue(target io.Writer, capacity int) *Queue {
	q := &Queue{done: make(chan struct{}), lines: ring.New[[]byte](capacity), target: target}
	go q.run()
	return q
}

// Write queues a copy of one line and always reports success.
func (q *Queue) Write(line []byte) (int, error) {
	q.lines.Push(bytes.Clone(line))
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() uint64 { return q.lines.Dropped() }

// Close writes the queued lines and stops the queue; it waits only a short time for a target that blocks.
func (q *Queue) Close() {
	q.lines.Close()
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		line, ok := q.lines.Pop()
		if !ok {
			return
		}
		if _, err := q.target.Write(line); err != nil {
			return // There is no other place to log the error.
		}
		q.logDrops()
	}
}

// logDrops reports lines that were dropped since the last report.
func (q *Queue) logDrops() {
	dropped := q.lines.Dropped()
	if dropped == q.reportedDrops {
		return
	}
	_, _ = fmt.Fprintf(q.target, "level=warn msg=\"logs: Lines were dropped.\" lines=%d\n", dropped-q.reportedDrops)
	q.reportedDrops = dropped
}

var _ io.Writer = (*Queue)(nil)
