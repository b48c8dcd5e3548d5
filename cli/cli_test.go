package cli

import (
	"io"
	"testing"
)

// TestMainWithoutArguments guards against a binary that cannot start.
func TestMainWithoutArguments(t *testing.T) {
	if code := Main(nil, io.Discard, io.Discard); code != 0 {
		t.Fatalf("exit code %d, want 0", code)
	}
}
