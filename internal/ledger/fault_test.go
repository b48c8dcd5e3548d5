package ledger

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/peer"
)

// TestLostWrite guards against a result that differs from what is recorded, for each action, each way
// to lose its transaction, and a lost transaction of the settlement.
func TestLostWrite(t *testing.T) {
	const late = 20 * time.Second
	for _, c := range []struct {
		desc   string
		faults []kv.Fault
		// applied says whether the action must be recorded in the end.
		applied bool
		// answered says whether the caller must get a definite result.
		answered bool
	}{
		{"reply lost", []kv.Fault{{Drop: true}}, true, true},
		{"request lost", []kv.Fault{{Skip: true}}, false, true},
		{"late", []kv.Fault{{Before: late}}, false, true},
		{"request and fencing reply lost", []kv.Fault{{Skip: true}, {Drop: true}}, false, false},
		{"request and fencing request lost", []kv.Fault{{Skip: true}, {Skip: true}}, false, false},
		{"late and fencing request late", []kv.Fault{{Before: late}, {Before: late}}, false, false},
	} {
		for _, action := range []peer.LedgerRequest_Action{actBegin, actFinish, actAbort} {
			t.Run(fmt.Sprint(c.desc, " ", action), func(t *testing.T) {
				run(t, []string{"a"}, func(t *testing.T, f *fleet) {
					d, key := f.daemons[0], Key("w", "/r", "1")
					if action != actBegin {
						runSteps(t, f, key, []step{{"begin", 0, actBegin, "r1", "", begun}})
					}
					for i, fault := range c.faults {
						d.kv.FailWrite(i+1, fault)
					}
					// One call of the owner, without the repetitions of Do.
					reply, err := d.Serve(t.Context(), request(action, key, "a", "r1", "body"))
					if err != nil {
						t.Fatal(err)
					}
					if want := settled(action, c.applied); reply.Result != want && (c.answered || reply.Result != isUnknown) {
						t.Errorf("got %s, want %s", reply.Result, want)
					}
					time.Sleep(2 * late)
					if got, want := f.stored(t, key).GetState(), stateAfter(action, c.applied); got != want {
						t.Errorf("afterwards: %s, want %s", got, want)
					}
				})
			})
		}
	}
}

// settled is the result of an action whose transaction took effect or not.
func settled(action peer.LedgerRequest_Action, applied bool) peer.LedgerReply_Result {
	switch {
	case !applied:
		return notAvailable
	case action == actBegin:
		return begun
	}
	return done
}

// stateAfter is the record's state after an action on a record in the state that it needs.
func stateAfter(action peer.LedgerRequest_Action, applied bool) peer.LedgerRecord_State {
	none, intent := peer.LedgerRecord_STATE_UNSPECIFIED, peer.LedgerRecord_STATE_INTENT
	before, after := intent, peer.LedgerRecord_STATE_DONE
	switch action {
	case actBegin:
		before, after = none, intent
	case actAbort:
		after = none
	}
	if applied {
		return after
	}
	return before
}

// TestPausedOwner guards against an owner that confirms after its lease has passed, and against two
// daemons that both begin a key, when the owner stands still before or after its transaction. The
// write of an owner whose successor has only read so far must not take effect either: the successor
// has answered that there is no record.
func TestPausedOwner(t *testing.T) {
	const pause = 3 * DefaultLeaseTTL
	for _, c := range []struct {
		desc  string
		fault kv.Fault
		// action is that of the new owner.
		action peer.LedgerRequest_Action
		want   peer.LedgerReply_Result
		// holder is the request whose record must stay.
		holder string
	}{
		{"before the transaction", kv.Fault{Before: pause}, actBegin, begun, "r2"},
		{"before the transaction, new owner only reads", kv.Fault{Before: pause}, actLookup, absent, ""},
		{"after the transaction", kv.Fault{After: pause}, actBegin, exists, "r1"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			run(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
				key := Key("w", "/r", "1")
				owner := f.owner(key)
				other := f.daemons[0]
				if other == owner {
					other = f.daemons[1]
				}
				owner.kv.SetTimeout(10 * pause)
				owner.kv.FailWrite(1, c.fault)
				confirmed := make(chan *peer.LedgerReply, 1)
				go func() {
					reply, _ := owner.Serve(t.Context(), request(actBegin, key, owner.id, "r1", "body"))
					confirmed <- reply
				}()
				time.Sleep(time.Second)
				// Nothing of the owner runs: its calls of the service stand still too.
				owner.kv.SetDelay(pause)
				f.setLive(other.id)
				time.Sleep(DefaultLeaseTTL + 2*time.Second)
				if got, _ := other.do(t.Context(), c.action, key, "r2", "body"); got != c.want {
					t.Errorf("call at the new owner: %s, want %s", got, c.want)
				}
				owner.kv.SetDelay(0)
				if reply := <-confirmed; reply.GetResult() == begun {
					t.Error("the paused owner has confirmed a begin")
				}
				time.Sleep(2 * pause)
				if id := f.stored(t, key).GetRequestId(); id != c.holder {
					t.Errorf("in the end the record is of %q, want %q", id, c.holder)
				}
			})
		})
	}
}

// TestLostCall guards against a begin that is denied to its holder after a lost reply between
// daemons, and against an error for an action that may be recorded.
func TestLostCall(t *testing.T) {
	run(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		calls := &callFaults{}
		f.peers.Intercept(calls.intercept)
		for i, c := range []struct {
			desc  string
			lost  []string
			begin peer.LedgerReply_Result
		}{
			{"call lost", []string{"lose call"}, begun},
			{"reply lost", []string{"lose answer"}, begun},
			{"both lost", []string{"lose call", "lose answer"}, begun},
			{"all lost", []string{"lose answer", "lose call", "lose call", "lose call"}, isUnknown},
		} {
			key := Key("w", "/r", fmt.Sprint(i))
			entry := f.daemons[0]
			if entry == f.owner(key) {
				entry = f.daemons[1]
			}
			for _, kind := range c.lost {
				calls.add(kind)
			}
			if got, _ := entry.do(t.Context(), actBegin, key, "r1", "body"); got != c.begin {
				t.Errorf("%s: begin %s, want %s", c.desc, got, c.begin)
			}
			calls.clear()
			calls.add("lose answer")
			if got, _ := entry.do(t.Context(), actAbort, key, "r1", "body"); got != done {
				t.Errorf("%s: abort %s, want %s", c.desc, got, done)
			}
		}
	})
}

// TestAbandoned guards against a key that stays blocked by a begin whose outcome was unknown, and
// against a removal of the intent while its request runs.
func TestAbandoned(t *testing.T) {
	run(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		calls := &callFaults{}
		f.peers.Intercept(calls.intercept)
		key := Key("w", "/r", "1")
		entry := 0
		if f.owner(key) == f.daemons[0] {
			entry = 1
		}
		for _, kind := range []string{"lose answer", "lose call", "lose call", "lose call"} {
			calls.add(kind)
		}
		runSteps(t, f, key, []step{{"all replies lost", entry, actBegin, "r1", "", isUnknown}})
		calls.clear()
		runSteps(t, f, key, []step{
			{"begin again before the removal", entry, actBegin, "r1", "", notAvailable},
			{"begin by another request before the removal", 1 - entry, actBegin, "r2", "", exists},
		})
		time.Sleep(abandonDelay + 2*reconcileInterval)
		runSteps(t, f, key, []step{{"begin by another request", 1 - entry, actBegin, "r3", "", begun}})
	})
}

// TestOutage guards against a begin during an outage of the service, against waiting for it, and
// against a ledger that does not come back.
func TestOutage(t *testing.T) {
	run(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		key := Key("w", "/r", "1")
		for _, d := range f.daemons {
			d.kv.SetDown(true)
		}
		limit := doLimit
		for range 10 {
			begin := time.Now()
			if got, _ := f.daemons[0].do(t.Context(), actBegin, key, "r1", "body"); got != notAvailable {
				t.Errorf("begin during the outage: %s", got)
			}
			time.Sleep(time.Minute)
			if took := time.Since(begin) - time.Minute; took > limit {
				t.Errorf("the refusal took %s", took)
			}
			limit = callTimeout // From now on the loss of the leases is known.
		}
		for _, d := range f.daemons {
			d.kv.SetDown(false)
		}
		time.Sleep(DefaultLeaseTTL)
		if got, _ := f.daemons[0].do(t.Context(), actBegin, key, "r1", "body"); got != begun {
			t.Errorf("begin after the outage: %s", got)
		}
	})
}

// TestRate guards against more transactions of one partition than the service has room for, and
// against a partition that falls behind its load.
func TestRate(t *testing.T) {
	run(t, []string{"a"}, func(t *testing.T, f *fleet) {
		const seconds, perSecond = 20, 200
		before := f.daemons[0].kv.Counters().Txns
		var callers sync.WaitGroup
		for i := range seconds * perSecond {
			key := Key("w", "/r", fmt.Sprint(i))
			key[0] = 0 // All in one partition.
			callers.Go(func() {
				if got, _ := f.daemons[0].do(t.Context(), actBegin, key, "r", "body"); got != begun {
					t.Errorf("begin: %s", got)
				}
			})
			time.Sleep(time.Second / perSecond)
		}
		callers.Wait()
		if n := f.daemons[0].kv.Counters().Txns - before; n > seconds*txnRate+txnBurst {
			t.Errorf("%d transactions in %d s", n, seconds)
		}
	})
}
