package logs

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/ring"
)

// closeLimit is how long the end of a process waits for its last lines.
const closeLimit = 300 * time.Millisecond

// A Queue is a writer that never blocks: what its target does not take in time is dropped and counted.
type Queue struct {
	done   chan struct{}
	lines  *ring.Ring[[]byte]
	target io.Writer
	told   uint64 // drops that were written about
}

// NewQueue returns a running queue of up to capacity lines before a target.
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

// Close writes what is queued and ends the queue; it waits only a short time for a target that blocks.
func (q *Queue) Close() {
	q.lines.Close()
	select {
	case <-q.done:
	case <-time.After(closeLimit):
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
			return // nowhere is left to tell it
		}
		q.tellDrops()
	}
}

// tellDrops writes a line when lines have been dropped since the last one.
func (q *Queue) tellDrops() {
	dropped := q.lines.Dropped()
	if dropped == q.told {
		return
	}
	_, _ = fmt.Fprintf(q.target, "level=warn msg=\"logs: Lines were dropped.\" lines=%d\n", dropped-q.told)
	q.told = dropped
}

var _ io.Writer = (*Queue)(nil)
