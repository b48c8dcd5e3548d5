package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// acquireAsync calls Acquire in a goroutine. The returned channel receives the slot, or is closed without
// one if Acquire fails.
func (d *daemon) acquireAsync(id string) <-chan dispatch.Slot {
	out := make(chan dispatch.Slot, 1)
	go func() {
		defer close(out)
		// The timeout ends the test if the request is lost.
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if slot, err := d.client.Acquire(ctx, "pool", acquireMessage(id)); err == nil {
			out <- slot
		}
	}()
	return out
}

func finish(s dispatch.Slot) { s.Finish(peer.Outcome_OUTCOME_COMPLETED, 1, 0, 0) }

// TestStreamFaults guards against a waiting request that is lost, a slot that is granted twice and a
// running request that its scheduler no longer tracks, after a fault between an entry daemon and its
// scheduler while one request runs and one waits.
func TestStreamFaults(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		fault func(f *fleet, entry, owner *daemon)
	}{
		// A connection that lost bytes drops all later ones too, also after Heal.
		{desc: "the open connection drops all data permanently", fault: func(f *fleet, entry, owner *daemon) {
			f.network.CutBoth(entry.member.PeerAddress, owner.member.PeerAddress)
			time.Sleep(1500 * time.Millisecond)
			f.network.Heal()
		}},
		{desc: "only replies are lost", fault: func(f *fleet, entry, owner *daemon) {
			f.network.Cut(owner.member.PeerAddress, entry.member.PeerAddress)
			time.Sleep(1500 * time.Millisecond)
			f.network.Heal()
		}},
		{desc: "only requests are lost", fault: func(f *fleet, entry, owner *daemon) {
			f.network.Cut(entry.member.PeerAddress, owner.member.PeerAddress)
			time.Sleep(1500 * time.Millisecond)
			f.network.Heal()
		}},
		{desc: "the connection breaks", fault: func(f *fleet, entry, _ *daemon) {
			f.network.CloseConns(entry.member.PeerAddress)
		}},
		{desc: "the scheduler was paused", fault: func(_ *fleet, _, owner *daemon) {
			owner.members.SetViewFresh(false)
			time.Sleep(700 * time.Millisecond)
			owner.members.SetViewFresh(true)
		}},
		{desc: "the scheduler does not see itself as the owner for a while", fault: func(_ *fleet, entry, owner *daemon) {
			all := owner.members.Live()
			owner.members.Set(entry.member)
			time.Sleep(700 * time.Millisecond)
			owner.members.Set(all...)
		}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, &fleet{}, 2, testSnapshot(t, 1, 1, 0))
				defer f.stop()
				owner := f.owner("pool/0")
				entry := f.other(owner)
				running := <-entry.acquireAsync("running")
				waiting := entry.acquireAsync("waiting")
				synctest.Wait()
				tc.fault(f, entry, owner)
				time.Sleep(5 * time.Second)
				if got := f.trackedAttempts(); got != 2 {
					t.Errorf("schedulers track %d requests after the fault, want 2", got)
				}
				if sh := owner.scheduler.ownedShard("pool/0"); sh.runningCount != 1 {
					t.Errorf("%d running attempts after the fault, want 1", sh.runningCount)
				}
				finish(running)
				slot := <-waiting
				if slot == nil {
					t.Fatal("waiting request lost")
				}
				finish(slot)
				time.Sleep(time.Second)
				if double := f.log.duplicateGrants(); len(double) > 0 {
					t.Errorf("granted twice: %v", double)
				}
				if got := f.trackedAttempts(); got != 0 {
					t.Errorf("%d requests leaked", got)
				}
			})
		})
	}
}

// TestLostGrant guards against a slot that leaks or is granted a second time, when the Grant message is
// lost on a connection that drops it without an error.
func TestLostGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{}, 2, testSnapshot(t, 1, 1, 0))
		defer f.stop()
		owner := f.owner("pool/0")
		entry := f.other(owner)
		firstSlot := <-owner.acquireAsync("first")
		waiting := entry.acquireAsync("waiting")
		time.Sleep(500 * time.Millisecond)
		f.network.Cut(owner.member.PeerAddress, entry.member.PeerAddress)
		finish(firstSlot)
		time.Sleep(500 * time.Millisecond)
		f.network.Heal()
		slot := <-waiting
		if slot == nil {
			t.Fatal("waiting request lost")
		}
		if got := lookup(f.log, f.log.grants, firstAttempt("waiting")); len(got) != 1 {
			t.Errorf("policy granted %v, want one grant", got)
		}
		if time.Until(slot.StartBy()) <= 0 {
			t.Error("repeated grant has expired")
		}
		finish(slot)
	})
}

// TestEntryDaemonLost guards against slots that stay occupied after their entry daemon has become
// unreachable.
func TestEntryDaemonLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{}, 2, testSnapshot(t, 1, 1, 0))
		defer f.stop()
		owner := f.owner("pool/0")
		entry := f.other(owner)
		<-entry.acquireAsync("running")
		waiting := owner.acquireAsync("waiting")
		start := time.Now()
		f.network.CutBoth(entry.member.PeerAddress, owner.member.PeerAddress)
		slot := <-waiting
		if waited := time.Since(start); waited > StreamTimeout+reconnectGrace {
			t.Errorf("slot was granted after %s, want at most %s", waited, StreamTimeout+reconnectGrace)
		}
		finish(slot)
	})
}

// TestCanceledCaller guards against a slot that leaks when the caller cancels while it waits or while the
// Grant is in flight.
func TestCanceledCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{}, 2, testSnapshot(t, 1, 1, 0))
		defer f.stop()
		entry := f.other(f.owner("pool/0"))
		running := <-entry.acquireAsync("running")
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error)
		go func() {
			_, err := entry.client.Acquire(ctx, "pool", acquireMessage("waiting"))
			failed <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-failed; !errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want canceled", err)
		}
		finish(running)
		if _, err := entry.client.Acquire(ctx, "pool", acquireMessage("late")); err == nil {
			t.Error("acquire with a canceled context succeeded")
		}
		synctest.Wait()
		if got := f.trackedAttempts(); got != 0 {
			t.Errorf("%d requests leaked", got)
		}
	})
}

// TestShardMove guards against running requests that no scheduler tracks after a configuration change has
// moved their endpoint to another shard.
func TestShardMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{}, 3, testSnapshot(t, 2, 1, 0))
		defer f.stop()
		a := <-f.daemons[0].acquireAsync("a")
		b := <-f.daemons[1].acquireAsync("b")
		waiting := f.daemons[2].acquireAsync("c")
		synctest.Wait()
		next := testSnapshot(t, 2, 1, 1)
		for _, d := range f.daemons {
			d.scheduler.SetSnapshot(next)
			d.client.SetSnapshot(next)
		}
		time.Sleep(2 * time.Second)
		for _, shard := range []string{"pool/0", "pool/1"} {
			if got := f.owner(shard).scheduler.ownedShard(shard).runningCount; got != 1 {
				t.Errorf("%d running attempts in %s, want 1", got, shard)
			}
		}
		finish(a)
		finish(b)
		if slot := <-waiting; slot != nil {
			finish(slot)
		} else {
			t.Error("waiting request lost")
		}
	})
}

// TestRandomFaults guards against combinations of faults that lose requests, leak slots or grant a slot
// twice. The entry daemons d0 and d1 stay members; faults affect connections, the daemons' views of the
// membership, whether a view is fresh, and the configuration.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, seed) })
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	snapshot := testSnapshot(t, 4, 2, 2)
	f := startFleet(t, &fleet{}, 4, snapshot)
	defer f.stop()
	all := f.daemons[0].members.Live()
	var callers sync.WaitGroup
	for i := range 60 {
		start := time.Duration(rng.IntN(30_000)) * time.Millisecond
		hold := time.Duration(rng.IntN(4_000)) * time.Millisecond
		entry := f.daemons[rng.IntN(2)]
		callers.Go(func() {
			time.Sleep(start)
			slot := <-entry.acquireAsync(fmt.Sprint("r", i))
			if slot == nil {
				t.Errorf("request %d lost", i)
				return
			}
			time.Sleep(hold)
			finish(slot)
		})
	}
	for range 12 {
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
		d, o := f.daemons[rng.IntN(4)], f.daemons[rng.IntN(4)]
		switch rng.IntN(5) {
		case 0:
			f.network.CutBoth(d.member.PeerAddress, o.member.PeerAddress)
		case 1:
			f.network.CloseConns(d.member.PeerAddress)
		case 2:
			d.members.SetViewFresh(false)
		case 3:
			removed := f.daemons[2+rng.IntN(2)].member
			for _, d := range f.daemons {
				d.members.Set(slices.DeleteFunc(slices.Clone(all), func(m *peer.Member) bool { return m == removed })...)
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		case 4:
			snapshot = testSnapshot(t, 4, 2, 1+rng.IntN(4))
			for _, d := range f.daemons {
				d.client.SetSnapshot(snapshot)
				d.scheduler.SetSnapshot(snapshot)
			}
		}
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
		f.network.Heal()
		for _, d := range f.daemons {
			d.members.SetViewFresh(true)
			d.members.Set(all...)
		}
	}
	callers.Wait()
	time.Sleep(10 * time.Second)
	if double := f.log.duplicateGrants(); len(double) > 0 {
		t.Errorf("granted twice: %v", double)
	}
	if got := f.trackedAttempts(); got != 0 {
		t.Errorf("%d requests leaked", got)
	}
}

// TestSecondCandidate guards against a request that is shed although its second candidate shard has
// capacity, and against one that is submitted more than twice. Each of the two shards has one slot and a
// queue of one request.
func TestSecondCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{maxQueue: 1}, 3, testSnapshot(t, 2, 1, 1))
		defer f.stop()
		time.Sleep(takeoverGrace)
		client := f.daemons[0].client
		results := make(chan error, 10)
		for i := range 10 {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := client.Acquire(ctx, "pool", acquireMessage(fmt.Sprint("r", i)))
				results <- err
			}()
			time.Sleep(time.Millisecond)
		}
		count := map[string]int{}
		for range 10 {
			err := <-results
			var shed *dispatch.ShedError
			switch {
			case err == nil:
				count["granted"]++
			case errors.Is(err, context.DeadlineExceeded):
				count["waited"]++
			case errors.As(err, &shed) && shed.Reason == ReasonOverload && shed.RetryAfter == time.Second:
				count["shed"]++
			}
		}
		if count["granted"] != 2 || count["waited"] != 2 || count["shed"] != 6 {
			t.Errorf("results %v, want 2 granted, 2 waited, 6 shed", count)
		}
		if got := client.count.secondCandidate.Count(); got < 6 {
			t.Errorf("%d requests tried the second candidate, want at least the 6 that were shed", got)
		}
	})
}

// TestDrainAndStale guards against grants on a draining endpoint, against messages of an earlier attempt
// that change a later one, and against load reports with the wrong time or endpoint.
func TestDrainAndStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, &fleet{poll: func(context.Context, config.Endpoint) (policy.LoadReport, time.Duration, error) {
			return policy.LoadReport{Running: 1}, 100 * time.Millisecond, nil
		}}, 1, testSnapshot(t, 2, 4, 0))
		defer f.stop()
		d := f.daemons[0]
		d.scheduler.SetDraining([]string{"e00"})
		slot := <-d.acquireAsync("a")
		if slot.Endpoint() != "e01" {
			t.Errorf("slot on %s, want e01", slot.Endpoint())
		}
		sess := d.scheduler.openSession("other", 1, func() {})
		defer sess.close()
		second := acquireMessage("b")
		second.Attempt.Number, second.Shard = 2, "pool/0"
		sess.handle(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Acquire{Acquire: second}})
		late := acquireMessage("b")
		late.Shard = "pool/0"
		sess.handle(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Acquire{Acquire: late}})
		sess.handle(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Finish{Finish: &peer.Finish{Attempt: late.Attempt}}})
		if got := f.trackedAttempts(); got != 2 {
			t.Errorf("%d requests tracked, want 2: a and the second attempt of b", got)
		}
		time.Sleep(3 * time.Second)
		f.log.mu.Lock()
		reports := slices.Clone(f.log.reports)
		f.log.mu.Unlock()
		if len(reports) < 4 || reports[0].MeasuredAt != policyStartTime-100*time.Millisecond || reports[0].Endpoint == "" {
			t.Errorf("reports %+v, want one per endpoint each second, with the time of the data in MeasuredAt", reports)
		}
		finish(slot)
	})
}
