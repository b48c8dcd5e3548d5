package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// stuckOutput blocks until it is released.
type stuckOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *stuckOutput) Write(p []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(p)
}

// TestWriterNeverBlocks guards against requests that wait for a reader of the logs, and against lines that
// are lost without a trace.
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
		t.Error("nothing was dropped although the output is stuck")
	}
	close(out.release)
	w.Close()
	written := strings.Count(out.String(), "line ")
	if int64(written)+w.Dropped() != lines {
		t.Errorf("%d written and %d dropped of %d", written, w.Dropped(), lines)
	}
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("the log does not say that lines are missing")
	}
}
