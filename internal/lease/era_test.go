package lease_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/lease"
	"github.com/chivewind/chivewind/platform/managed"
	"github.com/chivewind/chivewind/platform/managed/standin"
)

// TestTokenAfterOlderCopy guards against a fencing token that is not greater than an earlier holder's because the store has come
// back from a copy older than that holder and gives its revisions out again.
func TestTokenAfterOlderCopy(t *testing.T) {
	const (
		role = "duties"
		// ttl is that of the leases, which the stand-in does not let expire. They are renewed every third of it.
		ttl = 600 * time.Millisecond
	)
	server := standin.New()
	defer server.Close()
	newSession := func(name string) *lease.Session {
		kv := &managed.Store{Address: server.Address(), Timeout: config.Duration(5 * time.Second), WatchWait: config.Duration(time.Second)}
		if err := kv.Provision(nil); err != nil {
			t.Fatal(err)
		}
		return lease.New(kv, name, ttl, hclog.NewNullLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	newest := int64(0)
	for range 3 {
		older := server.Snapshot()
		for range 20 {
			server.Put("other", nil)
		}
		former := newSession("former")
		go func() { _ = former.Run(ctx) }()
		held, err := former.Acquire(ctx, role)
		if err != nil {
			t.Fatal(err)
		}
		if held.Token() <= newest {
			t.Errorf("token %d after %d", held.Token(), newest)
		}
		server.Restore(older)
		next, err := newSession("next").Acquire(ctx, role)
		if err != nil {
			t.Fatal(err)
		}
		if next.Token() <= held.Token() {
			t.Errorf("token %d after the return of the store, %d before it", next.Token(), held.Token())
		}
		for deadline := time.Now().Add(10 * ttl); !held.Lost(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the former holder has not lost the role")
			}
		}
		if _, err := former.Acquire(ctx, role); !errors.Is(err, lease.ErrHeld) {
			t.Errorf("the former holder acquires the role again: %v", err)
		}
		newest = next.Token()
		if err := next.Release(ctx); err != nil {
			t.Fatal(err)
		}
	}
}
