// Package logsink is a writer for logs that never blocks its callers: lines go through a bounded buffer,
// and lines that do not fit are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
)

// bufferedLines bounds the lines that wait for the output.
const bufferedLines = 2048

// Writer hands lines to an output. One Write is one line.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer for an output. Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of a line. It always succeeds.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		// The output may be closed or full; there is nowhere else to report that.
		_, _ = out.Write(line)
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
			fmt.Fprintf(out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped-reported)
			reported = dropped
		}
	}
}

// Close writes what is queued and ends the writer. Nothing may be written after it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
