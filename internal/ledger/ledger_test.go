package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

const (
	absent      = peer.LedgerReply_RESULT_ABSENT
	begun       = peer.LedgerReply_RESULT_BEGUN
	exists      = peer.LedgerReply_RESULT_EXISTS
	done        = peer.LedgerReply_RESULT_DONE
	mismatch    = peer.LedgerReply_RESULT_BODY_MISMATCH
	unavailable = peer.LedgerReply_RESULT_UNAVAILABLE
	unknown     = peer.LedgerReply_RESULT_UNKNOWN
)

// daemon is a ledger with its own store client and its own membership view.
type daemon struct {
	*Ledger
	id      string
	kv      *kv.Client
	members *clustertest.Members
	stop    func()
}

// fleet is a set of daemons that can call each other.
type fleet struct {
	store   *kv.Store
	peers   *clustertest.Peers
	daemons []*daemon
}

// testRetention is short, because simulating many sweeps is slow even in virtual time.
const testRetention = 10 * time.Minute

func newFleet(ctx context.Context, ids ...string) *fleet {
	f := &fleet{store: kv.NewStore(), peers: clustertest.NewPeers()}
	for _, id := range ids {
		d := &daemon{id: id, kv: kv.NewClient(f.store), members: clustertest.NewMembers(id, ids...)}
		d.Ledger = New(Options{
			KV: d.kv, Members: d.members, Peers: f.peers, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
			Retention: testRetention,
		})
		f.peers.Serve(id, d.Ledger)
		d.stop = clustertest.Start(ctx, d.Run)
		f.daemons = append(f.daemons, d)
	}
	return f
}

// stop stops all daemons and waits for delayed calls to end.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.stop()
	}
	time.Sleep(time.Hour)
}

// setLive sets the live members in the views of all daemons.
func (f *fleet) setLive(ids ...string) {
	for _, d := range f.daemons {
		d.members.SetLive(ids...)
	}
}

// owner returns the rendezvous owner of a key in the first daemon's view.
func (f *fleet) owner(key []byte) *daemon {
	id := f.daemons[0].members.Owners(role(PartitionOf(key)), 1)[0].Id
	for _, d := range f.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// stored returns the record in the store, bypassing the caches of the owners.
func (f *fleet) stored(t *testing.T, key []byte) *peer.LedgerRecord {
	t.Helper()
	reply := f.store.Range(platform.RangeRequest{Key: recordKey(PartitionOf(key), key)})
	if len(reply.KVs) == 0 {
		return nil
	}
	record, err := decodeRecord(reply.KVs[0])
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// disconnect cuts a daemon off from the store and its peers, so that it releases nothing.
func (f *fleet) disconnect(d *daemon) {
	d.kv.SetHang(true)
	f.peers.Serve(d.id, nil)
}

func runFleet(t *testing.T, ids []string, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), ids...)
		defer f.stop()
		time.Sleep(time.Second)
		test(t, f)
	})
}

// request returns an action for a request of a daemon.
func request(action peer.LedgerRequest_Action, key []byte, member, id, body string) *peer.LedgerRequest {
	req := &peer.LedgerRequest{Action: action, Key: key, MemberId: member, RequestId: id, BodyDigest: []byte(body)}
	if action == peer.LedgerRequest_ACTION_FINISH {
		req.Record = &peer.LedgerRecord{Status: 201, Answer: []byte("answer of " + id), AnswerKept: true}
	}
	return req
}

// do runs an action and returns its result. An error counts as RESULT_UNAVAILABLE.
func (d *daemon) do(ctx context.Context, action peer.LedgerRequest_Action, key []byte, id, body string) (peer.LedgerReply_Result, *peer.LedgerRecord) {
	reply, err := d.Do(ctx, request(action, key, d.id, id, body))
	if err != nil {
		return unavailable, nil
	}
	return reply.Result, reply.Record
}

// step is one action of a scenario and its expected result.
type step struct {
	desc   string
	daemon int
	action peer.LedgerRequest_Action
	id     string
	body   string
	want   peer.LedgerReply_Result
}

func runSteps(t *testing.T, f *fleet, key []byte, steps []step) {
	t.Helper()
	for _, s := range steps {
		if s.body == "" {
			s.body = "body"
		}
		if got, _ := f.daemons[s.daemon].do(t.Context(), s.action, key, s.id, s.body); got != s.want {
			t.Errorf("%s: got %s, want %s", s.desc, got, s.want)
		}
	}
}

const (
	actLookup = peer.LedgerRequest_ACTION_LOOKUP
	actBegin  = peer.LedgerRequest_ACTION_BEGIN
	actFinish = peer.LedgerRequest_ACTION_FINISH
	actAbort  = peer.LedgerRequest_ACTION_ABORT
)

// TestActions guards against a key that is begun twice, changed by a request other than its holder, or
// reused with another body.
func TestActions(t *testing.T) {
	runFleet(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		runSteps(t, f, Key("w", "/r", "1"), []step{
			{"lookup without a record", 0, actLookup, "r1", "", absent},
			{"begin", 0, actBegin, "r1", "", begun},
			{"begin repeated by its holder", 0, actBegin, "r1", "", begun},
			{"begin by another request", 0, actBegin, "r2", "", exists},
			{"begin by another daemon", 1, actBegin, "r1", "", exists},
			{"lookup", 1, actLookup, "r3", "", exists},
			{"another body", 1, actBegin, "r3", "other", mismatch},
			{"lookup with another body", 1, actLookup, "r3", "other", mismatch},
			{"finish by another request", 0, actFinish, "r2", "", exists},
			{"abort by another daemon", 1, actAbort, "r1", "", exists},
			{"abort", 0, actAbort, "r1", "", done},
			{"abort repeated", 0, actAbort, "r1", "", absent},
			{"begin after the abort", 1, actBegin, "r4", "", begun},
			{"finish", 1, actFinish, "r4", "", done},
			{"finish repeated", 1, actFinish, "r4", "", done},
			{"abort after the finish", 1, actAbort, "r4", "", exists},
			{"begin after the finish", 0, actBegin, "r5", "", exists},
		})
		_, record := f.daemons[2].do(t.Context(), actLookup, Key("w", "/r", "1"), "", "body")
		if record.GetState() != peer.LedgerRecord_STATE_DONE || string(record.GetAnswer()) != "answer of r4" || record.GetStatus() != 201 {
			t.Errorf("stored response %+v", record)
		}
	})
}

// TestLargeAnswer guards against a response that is returned without its body, and against a record that
// exceeds the store's limit of a value.
func TestLargeAnswer(t *testing.T) {
	runFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		for _, c := range []struct {
			size int
			kept bool
		}{{maxCachedResponseBytes + 1, true}, {MaxResponseBytes, true}, {MaxResponseBytes + 1, false}} {
			key := Key("w", "/r", fmt.Sprint(c.size))
			f.daemons[0].do(t.Context(), actBegin, key, "r", "body")
			req := request(actFinish, key, "a", "r", "body")
			req.Record.Answer = make([]byte, c.size)
			if reply, err := f.daemons[0].Do(t.Context(), req); err != nil || reply.Result != done {
				t.Fatalf("finish: %v, %v", reply, err)
			}
			for _, action := range []peer.LedgerRequest_Action{actLookup, actBegin} {
				_, record := f.daemons[0].do(t.Context(), action, key, "other", "body")
				if record.AnswerKept != c.kept || (len(record.Answer) == c.size) != c.kept {
					t.Errorf("%s, %d bytes: kept %v, %d bytes", action, c.size, record.AnswerKept, len(record.Answer))
				}
			}
		}
	})
}

// TestUnencodableRecord guards against confirming a change that was not stored: a later owner would find the old record.
func TestUnencodableRecord(t *testing.T) {
	runFleet(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
		key := Key("w", "/r", "1")
		owner := f.owner(key)
		var live []string
		var other *daemon
		for _, d := range f.daemons {
			if d != owner {
				live, other = append(live, d.id), d
			}
		}
		if reply, err := owner.Do(t.Context(), request(actBegin, key, owner.id, "\xff", "body")); err == nil && reply.Result == begun {
			t.Error("an intent that cannot be encoded was confirmed")
		}
		owner.do(t.Context(), actBegin, key, "r1", "body")
		req := request(actFinish, key, owner.id, "r1", "body")
		req.Record.ContentType = "text/plain; charset=\xff"
		if reply, err := owner.Do(t.Context(), req); err != nil || reply.Result != done {
			t.Fatalf("finish: %v, %v", reply, err)
		}
		f.disconnect(owner)
		f.setLive(live...)
		time.Sleep(DefaultLeaseTTL + 2*reconcileInterval)
		if got, record := other.do(t.Context(), actLookup, key, "r2", "body"); got != exists || record.State != peer.LedgerRecord_STATE_DONE {
			t.Errorf("lookup at the new owner: %s, %v", got, record)
		}
	})
}

// TestTakeover guards against records that are lost or begun again when their owner crashes, leaves or
// is cut off, and against a partition that stays without an owner.
func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		desc string
		fail func(f *fleet, owner *daemon)
	}{
		{"crash", func(f *fleet, owner *daemon) { f.disconnect(owner) }},
		{"stop", func(f *fleet, owner *daemon) { owner.stop() }},
		{"store unreachable", func(f *fleet, owner *daemon) { owner.kv.SetDown(true) }},
		{"view not fresh", func(f *fleet, owner *daemon) { owner.members.SetViewFresh(false) }},
	} {
		t.Run(c.desc, func(t *testing.T) {
			runFleet(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
				key := Key("w", "/r", "1")
				owner := f.owner(key)
				entry := f.daemons[0]
				if entry == owner {
					entry = f.daemons[1]
				}
				if got, _ := entry.do(t.Context(), actBegin, key, "r1", "body"); got != begun {
					t.Fatalf("begin: %s", got)
				}
				c.fail(f, owner)
				var live []string
				for _, d := range f.daemons {
					if d != owner {
						live = append(live, d.id)
					}
				}
				f.setLive(live...)
				time.Sleep(DefaultLeaseTTL + 2*reconcileInterval)
				if got, record := entry.do(t.Context(), actBegin, key, "r2", "body"); got != exists || record.RequestId != "r1" {
					t.Errorf("begin at the new owner: %s, %v", got, record)
				}
				if got, _ := entry.do(t.Context(), actFinish, key, "r1", "body"); got != done {
					t.Errorf("finish at the new owner: %s", got)
				}
			})
		})
	}
}

// TestBeginUsesLookup guards against a second store read for each request. At the target load the reads
// of the lookups alone use most of the store's capacity.
func TestBeginUsesLookup(t *testing.T) {
	runFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		d, key := f.daemons[0], Key("w", "/r", "1")
		before := d.kv.Counters().Ranges
		runSteps(t, f, key, []step{
			{"lookup", 0, actLookup, "r1", "", absent},
			{"begin", 0, actBegin, "r1", "", begun},
			{"finish", 0, actFinish, "r1", "", done},
			{"lookup again", 0, actLookup, "r2", "", exists},
		})
		if reads := d.kv.Counters().Ranges - before; reads != 1 {
			t.Errorf("%d reads, want 1", reads)
		}
	})
}

// TestLateLookup guards against a slow lookup that overwrites a newer record in the cache, after which
// the key could be begun again.
func TestLateLookup(t *testing.T) {
	runFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		d, key := f.daemons[0], Key("w", "/r", "1")
		d.mu.Lock()
		p := d.owned[PartitionOf(key)]
		d.mu.Unlock()
		read := p.startRead(recordKey(p.id, key))
		runSteps(t, f, key, []step{{"begin", 0, actBegin, "r1", "", begun}})
		p.endRead(read, nil, nil)
		runSteps(t, f, key, []step{
			{"lookup", 0, actLookup, "r2", "", exists},
			{"begin again", 0, actBegin, "r2", "", exists},
		})
	})
}
