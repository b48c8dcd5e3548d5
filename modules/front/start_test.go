package front

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/config"
)

// Guards against requests that a daemon rejects because peers listed it in entry responses before it had
// its first configuration, as in a rolling replacement under load, and against an unbounded wait.
func TestWaitsForFirstConfiguration(t *testing.T) {
	for _, c := range []struct {
		desc  string
		after time.Duration
		want  bool
	}{
		{"arrives in time", firstConfigTimeout / 2, true},
		{"arrives too late", 2 * firstConfigTimeout, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var current atomic.Pointer[config.Snapshot]
				time.AfterFunc(c.after, func() { current.Store(&config.Snapshot{Revision: 1}) })
				f := New(Options{Snapshot: current.Load})
				start := time.Now()
				s, e := f.awaitSnapshot(context.Background())
				if (s != nil) != c.want || (e == nil) != c.want {
					t.Errorf("snapshot %v, error %v", s, e)
				}
				if took := time.Since(start); took > firstConfigTimeout {
					t.Errorf("waited %v", took)
				}
			})
		})
	}
}
