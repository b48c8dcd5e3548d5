package vmlist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/platform"
)

// TestLag guards against changes that become visible before their lag has passed, or never.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.Put(platform.VM{ID: "a"})
		s.SetLag(10 * time.Second)
		s.Put(platform.VM{ID: "b"})
		time.Sleep(5 * time.Second)
		s.Remove("a")
		for _, c := range []struct {
			after time.Duration
			want  int
		}{{0, 1}, {4 * time.Second, 1}, {time.Second, 2}, {5 * time.Second, 1}} {
			time.Sleep(c.after)
			if got := len(s.List().VMs); got != c.want {
				t.Errorf("%d VMs, want %d", got, c.want)
			}
		}
	})
}
