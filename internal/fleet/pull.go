package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivewind/chivewind/peer"
)

const (
	// pullDelay is the delay before a newer revision that a peer has reported is pulled, so that it can arrive from the
	// store or in a report first. It is also the minimum time between two such pulls.
	pullDelay = 150 * time.Millisecond
	// minPullTimeout and maxPullTimeout bound one pull from a peer. The timeout doubles with each failure in a row, so
	// that a large table arrives over a slow link.
	minPullTimeout = 700 * time.Millisecond
	maxPullTimeout = 6 * time.Second
	// maxPullFailures is the number of pulls in a row without a usable reply, while other daemons have a newer state, after
	// which a daemon that does not watch the store reads it itself. Whatever they fail for, the next ones may fail as well.
	maxPullFailures = 3
)

// schedulePull pulls the state after pullDelay unless the revision has advanced by then. f.mu must be held.
func (f *Fleet) schedulePull(now time.Time) {
	if f.pulling || now.Before(f.nextPullAt) {
		return
	}
	f.pulling = true
	known := f.state.Revision()
	time.AfterFunc(pullDelay, func() {
		f.mu.Lock()
		behind := f.state.Revision() == known
		sources := f.members.NewerThan(time.Now(), known)
		f.mu.Unlock()
		if behind && len(sources) > 0 {
			// Any daemon with the newer state will do. Pulls of the whole fleet must not go to the same one.
			pulled := f.pull(context.Background(), sources[rand.IntN(len(sources))])
			f.recordPull(pulled)
		}
		f.mu.Lock()
		f.pulling, f.nextPullAt = false, time.Now().Add(pullDelay)
		f.mu.Unlock()
	})
}

// recordPull counts the pulls of a newer state that fail in a row.
func (f *Fleet) recordPull(succeeded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pullFailures++
	if succeeded {
		f.pullFailures = 0
	}
}

// mustCatchUp reports whether this daemon must read the store because it cannot get a newer state from other daemons.
func (f *Fleet) mustCatchUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pullFailures >= maxPullFailures && f.members.newestRevision > f.state.Revision() && time.Since(f.caughtUpAt) >= isolatedListInterval
}

// catchUp reads the store because pulls fail.
func (f *Fleet) catchUp(ctx context.Context) error {
	f.mu.Lock()
	failures := f.pullFailures
	f.caughtUpAt = time.Now()
	f.mu.Unlock()
	f.incCounter("chivewind_store_catch_ups_total")
	f.opts.Log.Warn("listing the store because the newer state of other daemons cannot be pulled", "failures", failures)
	return f.listStore(ctx)
}

// pull requests the entries that are newer at a peer and the members that this daemon does not know, and applies them.
// It reports whether the peer replied.
func (f *Fleet) pull(ctx context.Context, from *peer.Identity) bool {
	return f.pullWith(ctx, from, false)
}

// pullRoster pulls as pull does, and also the roster of a relay.
func (f *Fleet) pullRoster(ctx context.Context, from *peer.Identity) { f.pullWith(ctx, from, true) }

func (f *Fleet) pullWith(ctx context.Context, from *peer.Identity, roster bool) bool {
	f.mu.Lock()
	timeout := f.pullTimeout
	f.mu.Unlock()
	request := f.syncRequest(roster)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := f.callSync(ctx, from, request)
	f.mu.Lock()
	f.pullTimeout = minPullTimeout
	if err != nil {
		f.pullTimeout = min(2*timeout, maxPullTimeout)
	}
	f.mu.Unlock()
	if err != nil {
		f.incCounter("chivewind_peer_pull_failures_total")
		f.opts.Log.Debug("state sync with peer failed", "peer", from.ControlAddress, "error", err)
		return false
	}
	f.incCounter("chivewind_peer_pulls_total")
	f.applyReply(from, reply)
	return true
}

// syncRequest returns the request for what a peer knows and this daemon does not.
func (f *Fleet) syncRequest(roster bool) *peer.SyncRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &peer.SyncRequest{
		From: f.opts.Self.Daemon, Members: []*peer.Member{memberFromIdentity(f.opts.Self)}, WantRoster: roster,
		MemberDigests: slices.Clone(f.members.digests[:]), StateDigest: f.state.Digest(),
		Versions: []*peer.DocumentVersion{
			{Name: stateDocument, Version: uint64(f.state.Revision())},
			{Name: f.opts.Codec.TableKey, Version: uint64(f.state.TableRevision())},
		},
	}
}

// callSync sends a Sync call to a peer. Its error states why there is no usable reply.
func (f *Fleet) callSync(ctx context.Context, to *peer.Identity, request *peer.SyncRequest) (*peer.SyncReply, error) {
	client, err := f.opts.Peers.Client(ctx, &peer.Member{Id: to.Daemon, PeerAddress: to.ControlAddress})
	if err != nil {
		return nil, err
	}
	reply, err := client.Sync(ctx, request)
	if err != nil {
		return nil, err
	}
	return decompressReply(reply)
}

// applyReply applies the members and entries in the reply of a peer.
func (f *Fleet) applyReply(from *peer.Identity, reply *peer.SyncReply) {
	now := time.Now()
	f.mu.Lock()
	for _, m := range reply.Members {
		if id := identityFromMember(m); id.ControlAddress == from.ControlAddress {
			f.members.SetIdentity(now, id)
		} else {
			f.members.LearnIdentity(now, id)
		}
	}
	if len(reply.Roster) > 0 {
		f.members.ReplaceRoster(now, from.Daemon, reply.Roster)
	}
	f.mu.Unlock()
	state := &PeerState{
		Digest: reply.StateDigest, Entries: entriesFromDocuments(reply.Documents), EntriesSince: reply.DocumentsSince,
		Listing: reply.Listing, RemovalsSince: reply.RemovalsSince,
	}
	for _, v := range reply.Versions {
		if v.Name == stateDocument {
			state.Revision = int64(v.Version)
		}
	}
	f.updateState(func(now time.Time, s *State) bool { return s.ApplyPeerState(now, state) })
}

// entriesFromDocuments converts documents into the entries that they encode. Empty content means that the key was
// removed.
func entriesFromDocuments(documents []*peer.Document) []Entry {
	entries := make([]Entry, len(documents))
	for i, d := range documents {
		entries[i] = Entry{Key: d.Name, Revision: int64(d.Version), Value: d.Content, Base: int64(d.BaseVersion)}
		if len(d.Content) == 0 {
			entries[i].Value = nil
		}
	}
	return entries
}

// documentsFromEntries is the inverse of entriesFromDocuments.
func documentsFromEntries(entries []Entry) []*peer.Document {
	documents := make([]*peer.Document, len(entries))
	for i, e := range entries {
		documents[i] = &peer.Document{Name: e.Key, Version: uint64(e.Revision), Content: e.Value, BaseVersion: uint64(e.Base)}
	}
	return documents
}

// identityFromMember converts a member of a Sync call into an identity as used in reports.
func identityFromMember(m *peer.Member) *peer.Identity {
	return &peer.Identity{
		Daemon: m.Id, Zone: m.Zone, Region: m.Region, EntryAddress: m.EntryUrl, ControlAddress: m.PeerAddress, ReportAddress: m.GossipAddress,
		Capacity: m.Capacity,
	}
}

// memberFromIdentity is the inverse of identityFromMember.
func memberFromIdentity(id *peer.Identity) *peer.Member {
	return &peer.Member{
		Id: id.Daemon, Zone: id.Zone, Region: id.Region, EntryUrl: id.EntryAddress, PeerAddress: id.ControlAddress, GossipAddress: id.ReportAddress,
		Capacity: id.Capacity,
	}
}

// stateDocument is the document name under which a Sync call carries the revision of the whole state.
const stateDocument = "state"

// Sync implements the Sync call of the peer service: it returns the entries that the caller's state lacks, and the members
// that the caller may not know. Empty content means that the key was removed.
func (f *Fleet) Sync(_ context.Context, r *peer.SyncRequest) (*peer.SyncReply, error) {
	f.mu.Lock()
	now := time.Now()
	for _, m := range r.Members {
		if id := identityFromMember(m); id.Daemon == r.From {
			f.members.SetIdentity(now, id)
		} else {
			f.members.LearnIdentity(now, id)
		}
	}
	reply := f.syncReply(r)
	f.mu.Unlock()
	return compressReply(reply)
}

// syncReply returns the reply to a Sync call. f.mu must be held.
func (f *Fleet) syncReply(r *peer.SyncRequest) *peer.SyncReply {
	var since, tableRevision int64
	for _, v := range r.Versions {
		switch v.Name {
		case stateDocument:
			since = int64(v.Version)
		case f.opts.Codec.TableKey:
			tableRevision = int64(v.Version)
		}
	}
	state := f.state.StateFor(since, tableRevision, r.StateDigest)
	reply := &peer.SyncReply{
		Versions:  []*peer.DocumentVersion{{Name: stateDocument, Version: uint64(state.Revision)}},
		Documents: documentsFromEntries(state.Entries), DocumentsSince: state.EntriesSince,
		Listing: state.Listing, RemovalsSince: state.RemovalsSince, StateDigest: state.Digest,
	}
	if r.WantRoster {
		reply.Roster = f.members.OwnRoster()
	}
	for _, id := range append(f.members.Identities(), f.opts.Self) {
		if f.members.digests.differs(id.Daemon, r.MemberDigests) {
			reply.Members = append(reply.Members, memberFromIdentity(id))
		}
	}
	return reply
}
