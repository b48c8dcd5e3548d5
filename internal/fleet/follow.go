package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff between failed calls to the store. A routing table must be
	// in force within 2 s after the store has confirmed the operator's write, also right after an outage.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// maxRetriesPerSecond is the combined rate of retries by all daemons that are not watchers while the store is
	// unavailable.
	maxRetriesPerSecond = 10
	// outageThreshold is the time without a reply from the store after which leases of endpoints may have expired:
	// endpoints renew them about once a second, and three missed renewals end a lease.
	outageThreshold = 2 * time.Second
	// watcherMaxAge is the maximum age of a watcher's last reply from the store, and of its last report, before other
	// daemons start to watch the store themselves. The store replies to a watch without events every
	// platform.WatchReplyInterval.
	watcherMaxAge = 3 * time.Second
	// watchCheckInterval is how often a daemon that does not watch checks whether it must.
	watchCheckInterval = 200 * time.Millisecond
	// peerStateWait is how long a starting daemon to which the store does not reply waits for the state of another daemon
	// before it tries the store again.
	peerStateWait = 1500 * time.Millisecond
	// relayStartupWait is how long a starting daemon waits for reports of others before it watches the store as a relay,
	// and startupReportWait how long any other waits for a report of a relay that watches it.
	relayStartupWait  = 700 * time.Millisecond
	startupReportWait = 4 * time.Second
	// startupCheckInterval is how often a starting daemon checks whether it has received the state.
	startupCheckInterval = 50 * time.Millisecond
	// isolatedListInterval is the minimum time between listings of the store by a daemon that receives no reports, or cannot
	// pull the state of others.
	isolatedListInterval = 5 * time.Second
)

// replicateStore replicates the store into the state until ctx is canceled. Seeds begin with a listing of all keys.
// Others begin with one that may be seconds old, which is cheap, and get what is newer from the relays or, if the
// store does not reply, all of the state from a seed. All then watch while they are responsible for watching, and
// list the keys again if the revision from which they watch has been compacted.
func (f *Fleet) replicateStore(ctx context.Context) {
	delay := minRetryDelay
	// listings counts the listings since the last reply to a watch.
	listings := 0
	var unusable unusableReplies
	hasListing := !f.isSeed() && (f.listStaleStore(ctx) == nil || f.awaitPeerState(ctx))
	if hasListing {
		f.awaitWatchedStore(ctx)
	}
	for ctx.Err() == nil {
		var err error
		switch {
		case !hasListing:
			sleepContext(ctx, relistDelay(listings))
			if err = f.listStore(ctx); err == nil {
				hasListing = true
				listings++
				f.awaitWatchedStore(ctx)
			}
		case f.mustWatch():
			var replied bool
			if replied, err = f.watchStore(ctx); replied {
				listings = 0
			}
			hasListing = !errors.Is(err, platform.ErrCompacted)
			if revision := f.watchedRevision(); unusable.mustList(revision, err) {
				err = f.listAfterUnusableReply(ctx, revision, err)
			}
		case f.mustCatchUp():
			err = f.catchUp(ctx)
		default:
			sleepContext(ctx, watchCheckInterval)
		}
		if err == nil || ctx.Err() != nil {
			delay = minRetryDelay
			continue
		}
		f.recordStoreFailure(err)
		if hasListing || !errors.Is(err, platform.ErrCompacted) {
			sleepContext(ctx, f.retryDelay(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// relistDelay returns the time to wait before a listing after n others without a reply to a watch in between. A store that
// does not have the revision of its own listing must not be listed without a pause.
func relistDelay(n int) time.Duration {
	if n == 0 {
		return 0
	}
	return min(minRetryDelay<<min(n-1, 8), maxRetryDelay)
}

// isSeed reports whether other daemons get the state from this one when they start, or there is no other to get it
// from.
func (f *Fleet) isSeed() bool {
	return len(f.opts.Seeds) == 0 || slices.Contains(f.opts.Seeds, f.opts.Self.ControlAddress)
}

// awaitPeerState waits for up to peerStateWait until another daemon has sent the state, and reports whether it has.
func (f *Fleet) awaitPeerState(ctx context.Context) bool {
	for deadline := time.Now().Add(peerStateWait); ctx.Err() == nil && time.Now().Before(deadline); {
		if f.View().Table != nil {
			return true
		}
		sleepContext(ctx, startupCheckInterval)
	}
	return false
}

// awaitWatchedStore waits until a relay watches the store or this daemon must do so as a relay, for up to
// startupReportWait.
func (f *Fleet) awaitWatchedStore(ctx context.Context) {
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < startupReportWait {
		f.mu.Lock()
		relay, watched := f.members.IsRelay(), f.members.StoreIsWatched(time.Now(), watcherMaxAge)
		f.mu.Unlock()
		if watched || (relay && time.Since(start) >= relayStartupWait) {
			return
		}
		sleepContext(ctx, startupCheckInterval)
	}
}

func (f *Fleet) mustWatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.MustWatch(time.Now(), watcherMaxAge)
}

// retryDelay returns the time to wait before the next call to the store, which is delay for watchers and daemons
// without a routing table. Other daemons learn from the watchers that the store has recovered and call it less often.
func (f *Fleet) retryDelay(delay time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.state.table == nil || f.members.IsRelay() {
		return delay
	}
	return max(delay, time.Duration(len(f.members.Live(now)))*time.Second/maxRetriesPerSecond)
}

// recordStoreFailure records a failed call to the store. The first failure in a row is logged and announced. A reply that
// cannot be used is not announced: the store replies, and the listing that follows soon makes up for it.
func (f *Fleet) recordStoreFailure(err error) {
	f.incCounter("chivewind_store_failures_total")
	if errors.Is(err, platform.ErrUnusableReply) || errors.Is(err, platform.ErrReplyTooLong) {
		f.opts.Log.Debug("a reply of the store cannot be used", "error", err)
		return
	}
	f.mu.Lock()
	first := !f.storeFailing
	f.storeFailing = true
	f.mu.Unlock()
	if first {
		f.opts.Log.Warn("the store gave no answer", "error", err)
		// Tell the other daemons immediately that they cannot rely on this daemon's watch.
		f.sendReports(heartbeatAudience, false)
	}
}

// listStore reads all keys and replaces the state.
func (f *Fleet) listStore(ctx context.Context) error {
	all, revision, err := f.readAll(ctx, false)
	if err != nil {
		return err
	}
	f.recordStoreReply()
	f.applyListing(all, revision)
	return nil
}

// listStaleStore reads all keys as of a few seconds ago. It is no proof that the state is up to date.
func (f *Fleet) listStaleStore(ctx context.Context) error {
	all, revision, err := f.readAll(ctx, true)
	if err != nil {
		return err
	}
	f.applyListing(all, revision)
	return nil
}

// readAll reads all keys. The pages are not one snapshot, but of one era; all changes up to the returned revision are in them.
// For a stale listing, that revision is taken from the newest key of each page, because a store may state its current
// revision with a stale page.
func (f *Fleet) readAll(ctx context.Context, stale bool) (all []platform.KeyValue, revision int64, err error) {
	request := platform.RangeRequest{Prefix: true, Stale: stale}
	era := int64(0)
	for first := true; ; first = false {
		page, err := f.opts.KV.Range(ctx, request)
		if err != nil {
			return nil, 0, err
		}
		if first {
			era = platform.EraOf(page.Revision)
		} else if platform.EraOf(page.Revision) != era {
			return nil, 0, fmt.Errorf("%w: the store came back from an older copy during a listing", platform.ErrUnavailable)
		}
		pageRevision := page.Revision
		if stale {
			pageRevision = min(pageRevision, newestRevision(page.KVs))
		}
		if first || pageRevision < revision {
			revision = pageRevision
		}
		all = append(all, page.KVs...)
		if !page.More || len(page.KVs) == 0 {
			return all, revision, nil
		}
		request.After = page.KVs[len(page.KVs)-1].Key
	}
}

// newestRevision returns the revision of the newest change of the keys, or 0 if there are none.
func newestRevision(keys []platform.KeyValue) int64 {
	newest := int64(0)
	for _, kv := range keys {
		newest = max(newest, kv.ModRevision)
	}
	return newest
}

func (f *Fleet) applyListing(all []platform.KeyValue, revision int64) {
	f.updateDaemons(all)
	for _, kv := range all {
		f.noteOtherKey(kv)
	}
	f.mu.Lock()
	f.readRevision = max(f.readRevision, revision)
	f.mu.Unlock()
	f.updateState(func(now time.Time, s *State) bool { return s.ApplyListing(now, revision, all) })
}

// watchStore applies events of a watch until the watch fails or this daemon need not watch any more. It reports whether there
// was a reply that could be used.
func (f *Fleet) watchStore(ctx context.Context) (replied bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies, err := f.opts.KV.Watch(ctx, "", f.watchedRevision()+1)
	if err != nil {
		return false, err
	}
	for reply := range replies {
		if reply.Err != nil {
			return replied, reply.Err
		}
		replied = true
		f.recordStoreReply()
		f.updateState(func(now time.Time, s *State) bool { return applyEvents(now, s, reply.Events) })
		for _, e := range reply.Events {
			if !e.Deleted {
				f.noteOtherKey(e.KV)
			}
		}
		f.mu.Lock()
		f.readRevision = max(f.readRevision, reply.Revision)
		f.mu.Unlock()
		if !f.mustWatch() {
			return replied, nil
		}
	}
	return replied, ctx.Err()
}

// noteOtherKey calls OnOtherKey for a key that neither the state nor the members contain.
func (f *Fleet) noteOtherKey(kv platform.KeyValue) {
	if f.opts.OnOtherKey != nil && !f.state.relevant(kv.Key) && !strings.HasPrefix(kv.Key, f.opts.Codec.DaemonPrefix) {
		f.opts.OnOtherKey(kv)
	}
}

// applyEvents applies events of a watch and reports whether the state changed. The value of a put is never passed as
// nil, because State.Apply takes a nil value for a removal. The revision of the state advances after all events, because
// several keys may have changed at one revision.
func applyEvents(now time.Time, s *State, events []platform.Event) bool {
	changed, newest := false, int64(0)
	for _, e := range events {
		value := e.KV.Value
		switch {
		case e.Deleted:
			value = nil
		case value == nil:
			value = []byte{}
		}
		if s.relevant(e.KV.Key) {
			changed = s.ApplyFromStore(now, e.KV.Key, e.KV.ModRevision, value) || changed
			newest = max(newest, e.KV.ModRevision)
		}
	}
	s.Advance(newest)
	return changed
}

// recordStoreReply records a reply of the store. After an outage it starts the grace period for removed endpoints.
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

// runAntiEntropy pulls the state, several times at startup from the first seed that replies, and then periodically
// from a random live daemon, so that daemons discover each other and recover from lost messages. From time to time it
// tries a seed or a removed daemon instead, because a healed partition may have left two fleets. A daemon without live
// peers keeps trying all seeds and lists the store from time to time.
func (f *Fleet) runAntiEntropy(ctx context.Context) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second} {
		sleepContext(ctx, pause)
		f.pullFromSeeds(ctx, 1)
	}
	const (
		interval = 5 * time.Second
		// outsiderRounds is the number of rounds of which one tries a daemon that may not be live.
		outsiderRounds = 4
	)
	lastList := time.Now()
	for round := 1; ctx.Err() == nil; round++ {
		sleepContext(ctx, interval)
		f.mu.Lock()
		live, outsiders := f.members.Live(time.Now()), append(f.members.Removed(), f.opts.Seeds...)
		f.mu.Unlock()
		switch {
		case len(live) == 0:
			f.pullFromSeeds(ctx, len(f.opts.Seeds))
			if time.Since(lastList) >= isolatedListInterval {
				lastList = time.Now()
				if err := f.listStore(ctx); err != nil {
					f.recordStoreFailure(err)
				}
			}
		case round%outsiderRounds == 0 && len(outsiders) > 0:
			f.pullFrom(ctx, outsiders[rand.IntN(len(outsiders))])
		default:
			f.pull(ctx, live[rand.IntN(len(live))].Identity)
		}
	}
}

// pullFromSeeds pulls the state from seeds in random order until the given number of them have replied.
func (f *Fleet) pullFromSeeds(ctx context.Context, replies int) {
	for _, n := range rand.Perm(len(f.opts.Seeds)) {
		if replies == 0 || ctx.Err() != nil {
			return
		}
		if f.pullFrom(ctx, f.opts.Seeds[n]) {
			replies--
		}
	}
}

// pullFrom pulls the state from the daemon with a control address, unless it is this one.
func (f *Fleet) pullFrom(ctx context.Context, address string) bool {
	return address != f.opts.Self.ControlAddress && f.pull(ctx, &peer.Identity{ControlAddress: address})
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
