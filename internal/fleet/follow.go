package fleet

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

const (
	// firstRetry and lastRetry bound the pause between tries to reach the store. A configuration must be in
	// force within two seconds of the store's confirmation, also right after an outage.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 600 * time.Millisecond
	// outageAfter is the silence of the store after which entries may have lapsed: endpoints renew theirs
	// about every second, and three missed renewals end one.
	outageAfter = 2 * time.Second
	// leaseTTL is how long the key of a daemon outlives it, and leaseRenewal the time between two renewals.
	leaseTTL     = 15 * time.Second
	leaseRenewal = 5 * time.Second
)

// follow keeps the state equal to the store's: a listing, then a watch from its revision, and again after
// the watch has failed.
func (f *Fleet) follow(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err == nil {
			retry = firstRetry
			err = f.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		f.count("chivewind_store_failures_total")
		if errors.Is(err, platform.ErrCompacted) {
			continue
		}
		f.o.Log.Debug("the store gave no answer", "error", err, "retry_in", retry.String())
		sleep(ctx, retry)
		retry = min(2*retry, lastRetry)
	}
}

// list reads all keys. Pages are not a snapshot, so the watch starts at the revision of the first one.
func (f *Fleet) list(ctx context.Context) (int64, error) {
	var all []platform.KeyValue
	var first int64
	request := platform.RangeRequest{Prefix: true}
	for {
		page, err := f.o.KV.Range(ctx, request)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		all = append(all, page.KVs...)
		if !page.More || len(page.KVs) == 0 {
			break
		}
		request.After = page.KVs[len(page.KVs)-1].Key
	}
	f.answered()
	f.change(func(now time.Time, s *State) bool { return s.ApplyListing(now, first, all) })
	return first, nil
}

// watch applies events until the watch fails.
func (f *Fleet) watch(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies, err := f.o.KV.Watch(ctx, "", revision+1)
	if err != nil {
		return err
	}
	for reply := range replies {
		if reply.Err != nil {
			return reply.Err
		}
		f.answered()
		f.change(func(now time.Time, s *State) bool { return applyEvents(now, s, reply.Events) })
	}
	return ctx.Err()
}

func applyEvents(now time.Time, s *State, events []platform.Event) bool {
	changed := false
	for _, e := range events {
		value := e.KV.Value
		switch {
		case e.Deleted:
			value = nil
		case value == nil:
			value = []byte{}
		}
		changed = s.Apply(now, e.KV.Key, e.KV.ModRevision, value) || changed
	}
	return changed
}

// answered records that the store answered, and the end of an outage.
func (f *Fleet) answered() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if silence := now.Sub(f.contact); !f.contact.IsZero() && silence > outageAfter {
		f.state.StoreReturned(now)
		f.o.Log.Info("the store answers again", "silence", silence.Round(time.Millisecond).String())
	}
	f.contact = now
}

// register keeps the daemon's key in the store under a lease, so that daemons that start later find it.
func (f *Fleet) register(ctx context.Context) {
	var lease platform.LeaseID
	for ctx.Err() == nil {
		pause := leaseRenewal
		if lease != 0 {
			if _, err := f.o.KV.KeepAlive(ctx, lease); errors.Is(err, platform.ErrLeaseNotFound) {
				lease = 0
			}
		}
		if lease == 0 {
			var err error
			if lease, err = f.putSelf(ctx); err != nil {
				f.o.Log.Debug("the daemon's key was not written", "error", err)
				pause = outageAfter
			}
		}
		sleep(ctx, pause)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastRetry)
		defer cancel()
		if err := f.o.KV.Revoke(ctx, lease); err != nil {
			f.o.Log.Debug("the daemon's lease was not ended", "error", err)
		}
	}
}

func (f *Fleet) putSelf(ctx context.Context) (platform.LeaseID, error) {
	value, err := proto.Marshal(f.o.Self)
	if err != nil {
		return 0, err
	}
	lease, err := f.o.KV.Grant(ctx, max(leaseTTL, f.o.MinLeaseTTL))
	if err != nil {
		return 0, err
	}
	put := platform.Op{Key: f.o.Codec.DaemonPrefix + f.o.Self.Daemon, Value: value, Lease: lease}
	if _, err := f.o.KV.Txn(ctx, platform.Txn{Then: []platform.Op{put}}); err != nil {
		return 0, err
	}
	return lease, nil
}

// join asks the seeds for their state until a routing table is known, for a start while the store is down.
func (f *Fleet) join(ctx context.Context) {
	for ctx.Err() == nil && f.View().Table == nil {
		for _, address := range f.o.Seeds {
			if address != f.o.Self.ControlAddress && f.View().Table == nil {
				f.pull(ctx, &peer.Identity{ControlAddress: address})
			}
		}
		sleep(ctx, lastRetry)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
