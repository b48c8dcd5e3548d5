// Package logsink provides a non-blocking writer for log lines: lines are queued in a bounded buffer, and lines
// that do not fit are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
)

// bufferedLines is the capacity of the queue, in lines.
const bufferedLines = 2048

// Writer copies log lines to an output asynchronously. Each Write is one line. It is safe for concurrent use. Lines that
// are written after Close are lost.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// New returns a Writer for out and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of p, or drops the line if the queue is full. It never blocks and never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	reported := int64(0)
	for {
		line, ok := w.next()
		if !ok {
			return
		}
		// An output error is ignored, because there is no other output to report it to.
		_, _ = out.Write(line)
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
			fmt.Fprintf(out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped-reported)
			reported = dropped
		}
	}
}

// next returns the next line. ok is false if the writer is closing and no line is left.
func (w *Writer) next() (line []byte, ok bool) {
	select {
	case line := <-w.lines:
		return line, true
	case <-w.closing:
	}
	select {
	case line := <-w.lines:
		return line, true
	default:
		return nil, false
	}
}

// Close writes the queued lines and stops the goroutine. It must be called once.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}
