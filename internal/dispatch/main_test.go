package dispatch_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines and connections that outlive their request.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
