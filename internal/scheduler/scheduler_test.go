package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// TestGrantAndFinish guards against a lost grant, progress or outcome and a leaked slot, within one daemon
// and over the network.
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
			if got := lookup(f.log, f.log.tokens, firstAttempt(id)); got != 3 {
				t.Errorf("policy saw %d tokens, want 3", got)
			}
			slot.Finish(peer.Outcome_OUTCOME_COMPLETED, 5, 20*time.Millisecond, time.Second)
			synctest.Wait()
			if got := lookup(f.log, f.log.outcomes, firstAttempt(id)); got != policy.Completed {
				t.Errorf("outcome %v, want completed", got)
			}
		}
	})
}

// TestFailover guards against requests that are lost when their scheduler fails. The new owner must
// receive a waiting request with its original arrival time, and a running one as running.
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
		f.network.CloseConns(owner.member.PeerAddress)
		time.Sleep(3 * time.Second)
		f.remove(owner)
		time.Sleep(time.Second)
		if got := lookup(f.log, f.log.resumed, firstAttempt("running")); got != 1 {
			t.Errorf("running attempt registered %d times with the new owner, want 1", got)
		}
		running.Finish(peer.Outcome_OUTCOME_COMPLETED, 1, 0, 0)
		if err := <-granted; err != nil {
			t.Errorf("waiting request lost: %v", err)
		}
		waits := lookup(f.log, f.log.waitTimes, "waiting")
		if len(waits) < 2 || waits[len(waits)-1] < 5*time.Second {
			t.Errorf("waits at submission %v, want the original arrival kept", waits)
		}
		if double := f.log.duplicateGrants(); len(double) > 0 {
			t.Errorf("granted twice: %v", double)
		}
	})
}

// TestPreemptAndRestart guards against a preemption that does not reach its request, and against requests
// of an earlier incarnation of an entry daemon that keep their slots.
func TestPreemptAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{}, 2, testSnapshot(t, 1, 2, 0))
		defer f.stop()
		owner := f.owner("pool/0")
		slot := <-f.other(owner).acquireAsync("a")
		sh := owner.scheduler.ownedShard("pool/0")
		sh.mu.Lock()
		sh.applyDecision(policy.Decision{Kind: policy.Preempt, ID: firstAttempt("a")})
		sh.mu.Unlock()
		<-slot.Preempted()
		slot.Finish(peer.Outcome_OUTCOME_PREEMPTED, 2, 0, 0)
		aborted := false
		old := owner.scheduler.openSession("entry", 1, func() { aborted = true })
		a := acquireMessage("b")
		a.Shard = "pool/0"
		old.handle(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Acquire{Acquire: a}})
		synctest.Wait()
		if got := f.trackedAttempts(); got != 1 {
			t.Errorf("%d requests tracked, want 1", got)
		}
		fresh := owner.scheduler.openSession("entry", 2, func() {})
		if got := f.trackedAttempts(); got != 0 || !aborted {
			t.Errorf("%d requests of the earlier incarnation tracked, stream aborted: %v; want 0 and true", got, aborted)
		}
		old.close()
		fresh.close()
	})
}

// TestUnreachableOwner guards against requests that wait for a scheduler that is unreachable but still in
// the view, although the owner of their other candidate shard is reachable.
func TestUnreachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{}, 3, testSnapshot(t, 16, 8, 2))
		defer f.stop()
		entry, lost := f.daemons[0], f.daemons[1]
		// Open streams first, so that the cut affects an open stream as well as new connections.
		for i := range 8 {
			finish(<-entry.acquireAsync(fmt.Sprint("before", i)))
		}
		f.network.CutBoth(entry.member.PeerAddress, lost.member.PeerAddress)
		start := time.Now()
		for i := range 40 {
			id := fmt.Sprint("r", i)
			reachable := false
			entry.client.mu.Lock()
			for _, shard := range entry.client.candidates("pool", acquireMessage(id)) {
				reachable = reachable || f.owner(shard) != lost
			}
			entry.client.mu.Unlock()
			if !reachable {
				continue
			}
			slot := <-entry.acquireAsync(id)
			if slot == nil {
				t.Errorf("request %s lost", id)
				continue
			}
			finish(slot)
		}
		if took := time.Since(start); took > 6*time.Second {
			t.Errorf("requests took %s, want at most 6s: only one waits until its stream is found unresponsive", took)
		}
	})
}
