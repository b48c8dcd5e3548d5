package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

// TestSettle guards against an operator's decision that is not audited, that overrides a holder which may
// still send, or that does not free the key.
func TestSettle(t *testing.T) {
	runFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		key := Key("w", "/r", "1")
		notRun := func() *peer.LedgerRecord { return &peer.LedgerRecord{State: peer.LedgerRecord_STATE_NOT_RUN} }
		ran := func() *peer.LedgerRecord { return &peer.LedgerRecord{State: peer.LedgerRecord_STATE_DONE, Status: 200} }
		settleAs := func(desc string, record *peer.LedgerRecord, want peer.LedgerReply_Result) {
			t.Helper()
			reply, err := f.daemons[1].Settle(t.Context(), "alice", "10.0.0.9", key, record)
			if err != nil || reply.Result != want {
				t.Errorf("%s: %v, %v; want %s", desc, reply, err, want)
			}
		}
		settleAs("no record", notRun(), absent)
		runSteps(t, f, key, []step{{"begin", 0, actBegin, "r1", "", begun}})
		settleAs("too early", notRun(), exists)
		time.Sleep(minSettleAge)
		settleAs("not a decision", &peer.LedgerRecord{}, exists)
		settleAs("not run", notRun(), done)
		runSteps(t, f, key, []step{
			{"finish by the former holder", 0, actFinish, "r1", "", exists},
			{"another body", 1, actBegin, "r2", "other", mismatch},
			{"begin again", 1, actBegin, "r2", "", begun},
		})
		time.Sleep(minSettleAge)
		found, _, err := f.daemons[0].Intents(t.Context(), PartitionOf(key), nil, 10)
		if err != nil || len(found) != 1 || string(found[0].Key) != string(key) {
			t.Errorf("intents: %v, %v", found, err)
		}
		settleAs("ran", ran(), done)
		settleAs("settled twice", notRun(), exists)
		runSteps(t, f, key, []step{{"begin after ran", 0, actBegin, "r3", "", exists}})
		audit, err := f.daemons[0].Settlements(t.Context(), 10)
		if err != nil || len(audit) != 2 {
			t.Fatalf("audit: %v, %v", audit, err)
		}
		if s := audit[1]; s.Operator != "alice from 10.0.0.9" || s.RequestID != "r1" || s.From != "STATE_INTENT" || s.To != "STATE_NOT_RUN" {
			t.Errorf("audit entry %+v", s)
		}
	})
}

// TestRetention guards against records that are deleted too early, are never deleted, or are still in the
// cache after their deletion.
func TestRetention(t *testing.T) {
	runFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		const records = 2*sweepPageSize + 10
		key := func(i int) []byte {
			k := Key("w", "/r", fmt.Sprint(i))
			k[0] = 0
			return k
		}
		for i := range records {
			go f.daemons[0].do(t.Context(), actBegin, key(i), "r", "body")
		}
		time.Sleep(testRetention - time.Minute)
		count := func() int {
			return len(f.store.Range(platform.RangeRequest{Key: partitionPrefix(0), Prefix: true}).KVs)
		}
		if n := count(); n != records {
			t.Errorf("%d records before the end of the retention, want %d", n, records)
		}
		time.Sleep(3 * time.Minute)
		if n := count(); n != 0 {
			t.Errorf("%d records after the end of the retention", n)
		}
		if got, _ := f.daemons[0].do(t.Context(), actBegin, key(0), "r2", "body"); got != begun {
			t.Errorf("begin after the retention: %s", got)
		}
	})
}
