package lease

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/platform"
)

const (
	testTTL = 10 * time.Second
	role    = "role"
	// pause is longer than the TTL, like the pause of a suspended VM.
	pause = 3 * testTTL
)

// daemon is a session with its own store client, so that faults affect only this daemon.
type daemon struct {
	*Session
	kv *kv.Client
}

func newDaemon(t *testing.T, store *kv.Store, id string) *daemon {
	client := kv.NewClient(store)
	s := New(client, id, testTTL, hclog.NewNullLogger())
	stop := clustertest.Start(t.Context(), s.Run)
	t.Cleanup(func() {
		stop()
		// Delayed writes of the test have ended after this time.
		time.Sleep(2 * pause)
	})
	return &daemon{s, client}
}

// acquire retries until the role is acquired. It returns nil after limit.
func (d *daemon) acquire(t *testing.T, limit time.Duration) *HeldRole {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		h, err := d.Acquire(t.Context(), role)
		if err == nil {
			return h
		}
	}
	return nil
}

// fencedWrite makes a write that is conditional on the role's fence and reports whether it was applied.
func fencedWrite(t *testing.T, store *kv.Store, h *HeldRole, value string) bool {
	t.Helper()
	reply, err := store.Txn(platform.Txn{
		If:   []platform.Compare{h.Fence()},
		Then: []platform.Op{{Key: "guarded", Value: []byte(value)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return reply.Succeeded
}

// TestLifeCycle guards against a role with two holders, fencing tokens that do not increase, and a role
// that is lost although its lease is renewed.
func TestLifeCycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore()
		a, b := newDaemon(t, store, "a"), newDaemon(t, store, "b")
		first := a.acquire(t, time.Second)
		if _, err := b.Acquire(t.Context(), role); !errors.Is(err, ErrHeld) {
			t.Fatalf("second holder: %v, want ErrHeld", err)
		}
		time.Sleep(10 * testTTL)
		if !first.Valid(time.Now()) || !fencedWrite(t, store, first, "a") {
			t.Fatal("a renewed role is not valid")
		}
		if err := first.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		second := b.acquire(t, time.Second)
		if second == nil || second.Token() <= first.Token() {
			t.Fatalf("after a release: %+v, want a token above %d", second, first.Token())
		}
		if first.Valid(time.Now()) || fencedWrite(t, store, first, "a") {
			t.Error("a released role can still write")
		}
		if err := b.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		if third := a.acquire(t, time.Second); third == nil || third.Token() <= second.Token() {
			t.Errorf("after the close of a session: %+v", third)
		}
	})
}

// TestMargin guards against a holder that counts the validity of its lease from the reply instead of the
// request, or that uses the lease without a safety margin.
func TestMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := kv.NewClient(kv.NewStore())
		client.InjectWriteFault(1, kv.Fault{ReplyDelay: time.Second})
		s := New(client, "a", testTTL, hclog.NewNullLogger())
		start := time.Now()
		h, err := s.Acquire(t.Context(), role)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range []struct {
			after time.Duration
			want  bool
		}{{testTTL*9/10 - 1, true}, {testTTL * 9 / 10, false}, {testTTL, false}} {
			if got := h.Valid(start.Add(c.after)); got != c.want {
				t.Errorf("%s after the request: valid %v, want %v", c.after, got, c.want)
			}
		}
		// The wall clock has advanced and the monotonic clock has not: the VM was suspended.
		if h.Valid(start.Round(0).Add(testTTL)) {
			t.Error("valid after a suspension")
		}
	})
}

// TestRenewalMargin guards against a renewal whose validity is counted from its reply, because the store
// counts from an earlier time.
func TestRenewalMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, kv.NewStore(), "a")
		h := d.acquire(t, time.Second)
		d.kv.SetReplyDelay(1500 * time.Millisecond)
		for range 40 {
			time.Sleep(testTTL / 20)
			end := d.kv.Store().Expiry(h.leaseID)
			if h.ValidUntil().After(end.Add(-testTTL / driftMarginDivisor)) {
				t.Fatalf("valid for %s, but the store ends the lease after %s", time.Until(h.ValidUntil()), time.Until(end))
			}
		}
	})
}

// TestPause guards against two daemons that both consider a role valid, and against writes of the earlier
// holder, when a daemon is paused during any of its store writes.
func TestPause(t *testing.T) {
	for write := 1; write <= 2; write++ {
		for _, c := range []struct {
			desc  string
			fault kv.Fault
		}{
			{"before the call", kv.Fault{RequestDelay: pause}},
			{"before the reply", kv.Fault{ReplyDelay: pause}},
			{"reply lost", kv.Fault{DropReply: true}},
			{"request lost", kv.Fault{DropRequest: true}},
		} {
			for _, timeout := range []time.Duration{2 * time.Second, 10 * pause} {
				t.Run(fmt.Sprintf("write %d %s, timeout %s", write, c.desc, timeout), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testPause(t, write, c.fault, timeout) })
				})
			}
		}
	}
}

func testPause(t *testing.T, n int, fault kv.Fault, timeout time.Duration) {
	store := kv.NewStore()
	a, b := newDaemon(t, store, "a"), newDaemon(t, store, "b")
	a.kv.SetTimeout(timeout)
	a.kv.InjectWriteFault(n, fault)
	var held atomic.Pointer[HeldRole]
	ctx, cancel := context.WithTimeout(t.Context(), 5*pause)
	defer cancel()
	go func() {
		for ctx.Err() == nil && held.Load() == nil {
			if h, err := a.Acquire(ctx, role); err == nil {
				held.Store(h)
			}
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(time.Second)
	second := b.acquire(t, 3*pause)
	for range 100 {
		time.Sleep(pause / 20)
		now := time.Now()
		first := held.Load()
		if first == nil || second == nil {
			continue
		}
		if first.Valid(now) && second.Valid(now) {
			t.Fatal("two holders at once")
		}
		if !second.Lost() && fencedWrite(t, store, first, "a") {
			t.Fatal("the earlier holder has written")
		}
	}
	if held.Load() == nil && second == nil {
		t.Error("no daemon acquired the role")
	}
}

// TestOutage guards against a role that stays valid while its lease cannot be renewed, and against one
// that cannot be acquired again after the outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore()
		a, b := newDaemon(t, store, "a"), newDaemon(t, store, "b")
		h := a.acquire(t, time.Second)
		a.kv.SetHang(true)
		time.Sleep(testTTL)
		if h.Valid(time.Now()) {
			t.Error("valid although the lease cannot be renewed")
		}
		next := b.acquire(t, testTTL)
		if next == nil {
			t.Fatal("the role of an unreachable daemon is not freed")
		}
		a.kv.SetHang(false)
		time.Sleep(testTTL)
		if !h.Lost() || h.Valid(time.Now()) {
			t.Error("the lost role is valid again")
		}
		next.Release(t.Context())
		if a.acquire(t, testTTL) == nil {
			t.Error("the daemon cannot acquire the role again")
		}
	})
}

// TestLostRelease guards against a role that stays held, and against a later holder whose key is deleted,
// when the reply to a release is lost or the release is applied late.
func TestLostRelease(t *testing.T) {
	for _, c := range []struct {
		desc  string
		fault kv.Fault
	}{
		{"reply lost", kv.Fault{DropReply: true}},
		{"request lost", kv.Fault{DropRequest: true}},
		{"late", kv.Fault{RequestDelay: pause}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kv.NewStore()
				a, b := newDaemon(t, store, "a"), newDaemon(t, store, "b")
				other, err := a.Acquire(t.Context(), "other")
				if err != nil {
					t.Fatal(err)
				}
				first := a.acquire(t, time.Second)
				a.kv.InjectWriteFault(1, c.fault)
				if err := first.Release(t.Context()); !errors.Is(err, platform.ErrOutcomeUnknown) {
					t.Fatalf("release: %v, want ErrOutcomeUnknown", err)
				}
				again := a.acquire(t, testTTL)
				if again == nil {
					t.Fatal("the daemon cannot acquire its role again")
				}
				time.Sleep(2 * pause)
				if !again.Valid(time.Now()) || !fencedWrite(t, store, again, "a") {
					t.Error("the late release deleted the key of the next holder")
				}
				a.kv.InjectWriteFault(1, c.fault)
				again.Release(t.Context())
				if b.acquire(t, testTTL) == nil {
					t.Error("the role is not freed while the lease is renewed for another role")
				}
				if !other.Valid(time.Now()) {
					t.Error("the other role is lost")
				}
			})
		})
	}
}
