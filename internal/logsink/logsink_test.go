package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// stuckOutput is an output whose writes block until release is closed.
type stuckOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *stuckOutput) Write(p []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(p)
}

// TestWriteAfterClose guards against a panic when a goroutine that outlives the daemon's graceful stop writes a log line:
// the process would end with an error.
func TestWriteAfterClose(t *testing.T) {
	out := &bytes.Buffer{}
	w := New(out)
	if _, err := w.Write([]byte("before\n")); err != nil {
		t.Fatal(err)
	}
	w.Close()
	for range 2 * bufferedLines {
		if n, err := w.Write([]byte("after\n")); n == 0 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if got := out.String(); got != "before\n" {
		t.Errorf("output %q", got)
	}
}

// TestWriterNeverBlocks guards against callers that block on a stalled log output, and against dropped lines
// that are neither counted nor reported in the log.
func TestWriterNeverBlocks(t *testing.T) {
	out := &stuckOutput{release: make(chan struct{})}
	w := New(out)
	const lines = 2 * bufferedLines
	for i := range lines {
		if n, err := w.Write([]byte(fmt.Sprintf("line %d\n", i))); n == 0 || err != nil {
			t.Fatalf("line %d: %d, %v", i, n, err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no lines were dropped although the output is blocked")
	}
	close(out.release)
	w.Close()
	written := strings.Count(out.String(), "line ")
	if int64(written)+w.Dropped() != lines {
		t.Errorf("%d written and %d dropped of %d", written, w.Dropped(), lines)
	}
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("the log does not report the dropped lines")
	}
}
