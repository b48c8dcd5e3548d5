package front

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/config"
)

// Guards against requests that a daemon refuses because peers named it to callers before it had its
// first configuration (seen in a rolling replacement under load), and against a wait without end.
func TestWaitsForFirstConfiguration(t *testing.T) {
	for _, c := range []struct {
		desc  string
		after time.Duration
		want  bool
	}{
		{"arrives in time", configurationWait / 2, true},
		{"arrives too late", 2 * configurationWait, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var current atomic.Pointer[config.Snapshot]
				time.AfterFunc(c.after, func() { current.Store(&config.Snapshot{Revision: 1}) })
				f := New(Options{Snapshot: current.Load})
				begun := time.Now()
				s, e := f.snapshot(context.Background())
				if (s != nil) != c.want || (e == nil) != c.want {
					t.Errorf("snapshot %v, error %v", s, e)
				}
				if took := time.Since(begun); took > configurationWait {
					t.Errorf("waited %v", took)
				}
			})
		})
	}
}
