package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// TestGrantAndFinish guards against a lost grant or a leaked slot, locally and over the network.
func TestGrantAndFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{}, 3, testSnapshot(t, 1, 1, 0))
		defer f.stop()
		owner := f.owner("pool/0")
		for i, d := range []*daemon{owner, f.other(owner), owner} {
			id := string(rune('a' + i))
			slot, err := d.client.Acquire(t.Context(), "pool", acquireMessage(id))
			if err != nil {
				t.Fatal(err)
			}
			if slot.Endpoint() != "e00" || time.Until(slot.StartBy()) > DefaultGrantValidity {
				t.Errorf("slot on %q until %v", slot.Endpoint(), slot.StartBy())
			}
			slot.Progress(3, 20*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			if got := lookup(f.log, f.log.tokens, first(id)); got != 3 {
				t.Errorf("policy saw %d tokens, want 3", got)
			}
			slot.Finish(peer.Outcome_OUTCOME_COMPLETED, 5, 20*time.Millisecond, time.Second)
			synctest.Wait()
			if got := lookup(f.log, f.log.outcomes, first(id)); got != policy.Completed {
				t.Errorf("outcome %v, want completed", got)
			}
		}
	})
}

// TestFailover guards against requests that are lost with their scheduler: a waiting one must be
// asked again with its arrival time, a running one registered with the new owner.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{}, 3, testSnapshot(t, 1, 1, 0))
		defer f.stop()
		owner := f.owner("pool/0")
		entry := f.other(owner)
		running, err := entry.client.Acquire(t.Context(), "pool", acquireMessage("running"))
		if err != nil {
			t.Fatal(err)
		}
		granted := make(chan error, 1)
		go func() {
			slot, err := entry.client.Acquire(context.Background(), "pool", acquireMessage("waiting"))
			if err == nil {
				slot.Finish(peer.Outcome_OUTCOME_COMPLETED, 1, 0, 0)
			}
			granted <- err
		}()
		time.Sleep(2 * time.Second)
		_ = owner.server.Stop(context.Background())
		f.network.Break(owner.member.PeerAddress)
		time.Sleep(3 * time.Second)
		f.remove(owner)
		time.Sleep(time.Second)
		if got := lookup(f.log, f.log.resumed, first("running")); got != 1 {
			t.Errorf("running attempt registered %d times with the new owner, want 1", got)
		}
		running.Finish(peer.Outcome_OUTCOME_COMPLETED, 1, 0, 0)
		if err := <-granted; err != nil {
			t.Errorf("waiting request lost: %v", err)
		}
		waits := lookup(f.log, f.log.arrivals, "waiting")
		if len(waits) < 2 || waits[len(waits)-1] < 5*time.Second {
			t.Errorf("waits at submission %v, want the original arrival kept", waits)
		}
		if double := f.log.doubleGrants(); len(double) > 0 {
			t.Errorf("granted twice: %v", double)
		}
	})
}
