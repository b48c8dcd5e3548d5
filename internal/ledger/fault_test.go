package ledger

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/peer"
)

// TestLostWrite guards against a result that contradicts the stored record when the transaction of an
// action, or the fencing transaction that resolves its outcome, is lost or late.
func TestLostWrite(t *testing.T) {
	const late = 20 * time.Second
	for _, c := range []struct {
		desc   string
		faults []kv.Fault
		// applied is true if the action must be recorded in the end.
		applied bool
		// answered is true if the caller must get a definite result.
		answered bool
	}{
		{"reply lost", []kv.Fault{{DropReply: true}}, true, true},
		{"request lost", []kv.Fault{{DropRequest: true}}, false, true},
		{"late", []kv.Fault{{RequestDelay: late}}, false, true},
		{"request and fencing reply lost", []kv.Fault{{DropRequest: true}, {DropReply: true}}, false, false},
		{"request and fencing request lost", []kv.Fault{{DropRequest: true}, {DropRequest: true}}, false, false},
		{"late and fencing request late", []kv.Fault{{RequestDelay: late}, {RequestDelay: late}}, false, false},
	} {
		for _, action := range []peer.LedgerRequest_Action{actBegin, actFinish, actAbort} {
			t.Run(fmt.Sprint(c.desc, " ", action), func(t *testing.T) {
				runFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
					d, key := f.daemons[0], Key("w", "/r", "1")
					if action != actBegin {
						runSteps(t, f, key, []step{{"begin", 0, actBegin, "r1", "", begun}})
					}
					for i, fault := range c.faults {
						d.kv.InjectWriteFault(i+1, fault)
					}
					// One call of the owner, without the retries of Do.
					reply, err := d.Serve(t.Context(), request(action, key, "a", "r1", "body"))
					if err != nil {
						t.Fatal(err)
					}
					if want := wantResult(action, c.applied); reply.Result != want && (c.answered || reply.Result != unknown) {
						t.Errorf("got %s, want %s", reply.Result, want)
					}
					time.Sleep(2 * late)
					if got, want := f.stored(t, key).GetState(), wantState(action, c.applied); got != want {
						t.Errorf("stored state %s, want %s", got, want)
					}
				})
			})
		}
	}
}

// wantResult returns the result of an action whose transaction was applied or not.
func wantResult(action peer.LedgerRequest_Action, applied bool) peer.LedgerReply_Result {
	switch {
	case !applied:
		return unavailable
	case action == actBegin:
		return begun
	}
	return done
}

// wantState returns the state of the record after an action on a record in the state that it requires.
func wantState(action peer.LedgerRequest_Action, applied bool) peer.LedgerRecord_State {
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

// TestPausedOwner guards against an owner that confirms an action after its lease has expired, and
// against two daemons that both begin a key, when the owner is paused before or after its transaction.
// If the new owner has only read the key, it has replied that there is no record, so the late write of
// the paused owner must not be applied either.
func TestPausedOwner(t *testing.T) {
	const pause = 3 * DefaultLeaseTTL
	for _, c := range []struct {
		desc  string
		fault kv.Fault
		// action is sent to the new owner.
		action peer.LedgerRequest_Action
		want   peer.LedgerReply_Result
		// holder is the id of the request whose record must remain.
		holder string
	}{
		{"before the transaction", kv.Fault{RequestDelay: pause}, actBegin, begun, "r2"},
		{"before the transaction, new owner only reads", kv.Fault{RequestDelay: pause}, actLookup, absent, ""},
		{"after the transaction", kv.Fault{ReplyDelay: pause}, actBegin, exists, "r1"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			runFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
				key := Key("w", "/r", "1")
				owner := f.owner(key)
				other := f.daemons[0]
				if other == owner {
					other = f.daemons[1]
				}
				owner.kv.SetTimeout(10 * pause)
				owner.kv.InjectWriteFault(1, c.fault)
				ownerReply := make(chan *peer.LedgerReply, 1)
				go func() {
					reply, _ := owner.Serve(t.Context(), request(actBegin, key, owner.id, "r1", "body"))
					ownerReply <- reply
				}()
				time.Sleep(time.Second)
				// The owner is paused, so its calls to the store are delayed too.
				owner.kv.SetDelay(pause)
				f.setLive(other.id)
				time.Sleep(DefaultLeaseTTL + 2*time.Second)
				if got, _ := other.do(t.Context(), c.action, key, "r2", "body"); got != c.want {
					t.Errorf("call at the new owner: %s, want %s", got, c.want)
				}
				owner.kv.SetDelay(0)
				if reply := <-ownerReply; reply.GetResult() == begun {
					t.Error("the paused owner has confirmed a begin")
				}
				time.Sleep(2 * pause)
				if id := f.stored(t, key).GetRequestId(); id != c.holder {
					t.Errorf("the stored record belongs to %q, want %q", id, c.holder)
				}
			})
		})
	}
}

// TestLostCall guards against an ACTION_BEGIN that is refused to its own holder after a lost reply
// between daemons, and against an error for an action that may have been recorded.
func TestLostCall(t *testing.T) {
	runFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		calls := &callFaults{}
		f.peers.Intercept(calls.intercept)
		for i, c := range []struct {
			desc  string
			lost  []string
			begin peer.LedgerReply_Result
		}{
			{"call lost", []string{"lose call"}, begun},
			{"reply lost", []string{"lose call reply"}, begun},
			{"both lost", []string{"lose call", "lose call reply"}, begun},
			{"all lost", []string{"lose call reply", "lose call", "lose call", "lose call"}, unknown},
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
			calls.add("lose call reply")
			if got, _ := entry.do(t.Context(), actAbort, key, "r1", "body"); got != done {
				t.Errorf("%s: abort %s, want %s", c.desc, got, done)
			}
		}
	})
}

// TestAbandoned guards against a key that stays blocked by an ACTION_BEGIN whose outcome is unknown, and
// against the deletion of an intent while its request runs.
func TestAbandoned(t *testing.T) {
	runFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		calls := &callFaults{}
		f.peers.Intercept(calls.intercept)
		key := Key("w", "/r", "1")
		entry := 0
		if f.owner(key) == f.daemons[0] {
			entry = 1
		}
		for _, kind := range []string{"lose call reply", "lose call", "lose call", "lose call"} {
			calls.add(kind)
		}
		runSteps(t, f, key, []step{{"all replies lost", entry, actBegin, "r1", "", unknown}})
		calls.clear()
		runSteps(t, f, key, []step{
			{"begin again before the abort", entry, actBegin, "r1", "", unavailable},
			{"begin by another request before the abort", 1 - entry, actBegin, "r2", "", exists},
		})
		time.Sleep(abortDelay + 2*reconcileInterval)
		runSteps(t, f, key, []step{{"begin by another request", 1 - entry, actBegin, "r3", "", begun}})
	})
}

// TestOutage guards against an ACTION_BEGIN that is confirmed while the store is down, against callers
// that wait for it longer than the timeouts, and against a ledger that does not recover.
func TestOutage(t *testing.T) {
	runFleet(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		key := Key("w", "/r", "1")
		for _, d := range f.daemons {
			d.kv.SetDown(true)
		}
		limit := doTimeout
		for range 10 {
			begin := time.Now()
			if got, _ := f.daemons[0].do(t.Context(), actBegin, key, "r1", "body"); got != unavailable {
				t.Errorf("begin during the outage: %s", got)
			}
			time.Sleep(time.Minute)
			if took := time.Since(begin) - time.Minute; took > limit {
				t.Errorf("the refusal took %s", took)
			}
			limit = callTimeout // From now on the daemons know that their leases are lost.
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

// TestRate guards against a partition that runs more transactions than txnsPerSecond allows, and against
// one that cannot keep up with its load.
func TestRate(t *testing.T) {
	runFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
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
		if n := f.daemons[0].kv.Counters().Txns - before; n > seconds*txnsPerSecond+txnBurst {
			t.Errorf("%d transactions in %d s", n, seconds)
		}
	})
}
