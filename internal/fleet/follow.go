package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

const (
	// minRetryDelay and lastRetry bound the pause between tries to reach the store. A configuration must be in
	// force within two seconds of the store's confirmation, also right after an outage.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// maxRetriesPerSecond is the number of calls a second that the daemons beside the watchers make together while
	// the store is down.
	maxRetriesPerSecond = 25
	// outageThreshold is the silence of the store after which entries may have lapsed: endpoints renew theirs
	// about every second, and three missed renewals end one.
	outageThreshold = 2 * time.Second
	// watcherMaxAge is the age of a watcher's last contact with the store, and of its last report, after
	// which another daemon watches for itself. A watch without events is answered every two seconds.
	watcherMaxAge = 3 * time.Second
	// watchCheckInterval is the time between two looks whether this daemon has to watch.
	watchCheckInterval = 200 * time.Millisecond
	// startupReportWait is how long a starting daemon waits for the others' reports before it watches the store.
	startupReportWait = 700 * time.Millisecond
	// leaseTTL is how long the key of a daemon outlives it, and leaseRenewal the time between two renewals.
	// The key is read only by daemons whose seeds are gone.
	leaseTTL           = 60 * time.Second
	leaseRenewInterval = 20 * time.Second
	// isolatedListInterval is the time between two listings of a daemon that hears no other.
	isolatedListInterval = 5 * time.Second
)

// replicateStore keeps the state equal to the store's: a listing, then a watch from its revision while this daemon
// has to watch, and a listing again when the history is gone.
func (f *Fleet) replicateStore(ctx context.Context) {
	retry := minRetryDelay
	listed := false
	for ctx.Err() == nil {
		var err error
		switch {
		case !listed:
			if err = f.listStore(ctx); err == nil {
				listed = true
				sleepContext(ctx, startupReportWait)
			}
		case f.mustWatch():
			err = f.watchStore(ctx)
			listed = !errors.Is(err, platform.ErrCompacted)
		default:
			sleepContext(ctx, watchCheckInterval)
		}
		if err == nil || ctx.Err() != nil {
			retry = minRetryDelay
			continue
		}
		f.recordStoreFailure(err)
		if listed || !errors.Is(err, platform.ErrCompacted) {
			sleepContext(ctx, f.retryDelay(retry))
			retry = min(2*retry, maxRetryDelay)
		}
	}
}

func (f *Fleet) mustWatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.MustWatch(time.Now(), watcherMaxAge)
}

// retryDelay returns the pause before the next try to reach the store. Watchers try often; the others
// hear of its return from them.
func (f *Fleet) retryDelay(retry time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.state.table == nil || slices.Contains(f.members.Watchers(now), f.opts.Self.Daemon) {
		return retry
	}
	return max(retry, time.Duration(len(f.members.Live(now)))*time.Second/maxRetriesPerSecond)
}

// recordStoreFailure records that the store gave no answer.
func (f *Fleet) recordStoreFailure(err error) {
	f.incCounter("chivewind_store_failures_total")
	f.mu.Lock()
	first := !f.storeFailing
	f.storeFailing = true
	f.mu.Unlock()
	if first {
		f.opts.Log.Warn("the store gave no answer", "error", err)
		// The others learn at once that this daemon cannot watch for them.
		f.sendReports(true, false)
	}
}

// listStore reads all keys. Pages are not a snapshot, so the watch starts at the revision of the first one.
func (f *Fleet) listStore(ctx context.Context) error {
	var all []platform.KeyValue
	var first int64
	request := platform.RangeRequest{Prefix: true}
	for {
		page, err := f.opts.KV.Range(ctx, request)
		if err != nil {
			return err
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
	f.recordStoreReply()
	f.updateDaemons(all)
	f.mu.Lock()
	f.watchFrom = max(f.watchFrom, first)
	f.mu.Unlock()
	f.updateState(func(now time.Time, s *State) bool { return s.ApplyListing(now, first, all) })
	return nil
}

// watchStore applies events until the watchStore fails or another daemon watches for the fleet.
func (f *Fleet) watchStore(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	// What other daemons told is complete up to the state's revision.
	from := max(f.watchFrom, f.state.Revision())
	f.mu.Unlock()
	replies, err := f.opts.KV.Watch(ctx, "", from+1)
	if err != nil {
		return err
	}
	for reply := range replies {
		if reply.Err != nil {
			return reply.Err
		}
		f.recordStoreReply()
		f.updateState(func(now time.Time, s *State) bool { return applyEvents(now, s, reply.Events) })
		f.mu.Lock()
		f.watchFrom = max(f.watchFrom, reply.Revision)
		f.mu.Unlock()
		if !f.mustWatch() {
			return nil
		}
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
		if s.relevant(e.KV.Key) {
			changed = s.Apply(now, e.KV.Key, e.KV.ModRevision, value) || changed
			s.Advance(e.KV.ModRevision)
		}
	}
	return changed
}

// recordStoreReply records that the store recordStoreReply, and the end of an outage.
func (f *Fleet) recordStoreReply() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeFailing && !f.lastStoreReply.IsZero() && now.Sub(f.lastStoreReply) > outageThreshold {
		f.state.StoreRecovered(now)
		f.opts.Log.Info("the store answers again", "silence", now.Sub(f.lastStoreReply).Round(time.Millisecond).String())
	}
	f.lastStoreReply, f.storeFailing = now, false
}

// keepRegistered keeps the daemon's key in the store under a lease, so that daemons that start later find it.
func (f *Fleet) keepRegistered(ctx context.Context) {
	var lease platform.LeaseID
	for ctx.Err() == nil {
		pause := leaseRenewInterval
		if lease != 0 {
			if _, err := f.opts.KV.KeepAlive(ctx, lease); errors.Is(err, platform.ErrLeaseNotFound) {
				lease = 0
			}
		}
		if lease == 0 {
			var err error
			if lease, err = f.writeOwnKey(ctx); err != nil {
				f.opts.Log.Debug("the daemon's key was not written", "error", err)
				pause = outageThreshold
			}
		}
		sleepContext(ctx, pause)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxRetryDelay)
		defer cancel()
		if err := f.opts.KV.Revoke(ctx, lease); err != nil {
			f.opts.Log.Debug("the daemon's lease was not ended", "error", err)
		}
	}
}

func (f *Fleet) writeOwnKey(ctx context.Context) (platform.LeaseID, error) {
	value, err := proto.Marshal(f.opts.Self)
	if err != nil {
		return 0, err
	}
	lease, err := f.opts.KV.Grant(ctx, max(leaseTTL, f.opts.MinLeaseTTL))
	if err != nil {
		return 0, err
	}
	put := platform.Op{Key: f.opts.Codec.DaemonPrefix + f.opts.Self.Daemon, Value: value, Lease: lease}
	if _, err := f.opts.KV.Txn(ctx, platform.Txn{Then: []platform.Op{put}}); err != nil {
		return 0, err
	}
	return lease, nil
}

// runAntiEntropy takes the others' state at the start, from the seeds, and now and then from a daemon picked at
// random, so that daemons learn of each other and lost messages are made up for.
func (f *Fleet) runAntiEntropy(ctx context.Context) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second} {
		sleepContext(ctx, pause)
		for _, address := range f.opts.Seeds {
			if address != f.opts.Self.ControlAddress && ctx.Err() == nil && f.pull(ctx, &peer.Identity{ControlAddress: address}) {
				break
			}
		}
	}
	const interval = 5 * time.Second
	lastList := time.Now()
	for ctx.Err() == nil {
		sleepContext(ctx, interval)
		f.mu.Lock()
		live := f.members.Live(time.Now())
		f.mu.Unlock()
		if len(live) > 0 {
			f.pull(ctx, live[rand.IntN(len(live))].Identity)
			continue
		}
		for _, address := range f.opts.Seeds {
			if address != f.opts.Self.ControlAddress {
				f.pull(ctx, &peer.Identity{ControlAddress: address})
			}
		}
		if time.Since(lastList) >= isolatedListInterval {
			lastList = time.Now()
			if err := f.listStore(ctx); err != nil {
				f.recordStoreFailure(err)
			}
		}
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
