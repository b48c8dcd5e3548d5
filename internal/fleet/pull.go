package fleet

import (
	"context"
	"time"

	"github.com/chivewind/chivewind/peer"
)

const (
	// pullDelay is the delay before a newer revision that a peer has reported is pulled from that peer, so that it can
	// arrive from the store or in a report first. It is also the minimum time between two such pulls.
	pullDelay = 150 * time.Millisecond
	// pullTimeout bounds one pull from a peer.
	pullTimeout = 700 * time.Millisecond
)

// schedulePull pulls the state from a peer after pullDelay unless the revision has advanced by then. f.mu must be
// held.
func (f *Fleet) schedulePull(now time.Time, from *peer.Identity) {
	if f.pulling || now.Before(f.nextPullAt) {
		return
	}
	f.pulling = true
	known := f.state.Revision()
	time.AfterFunc(pullDelay, func() {
		f.mu.Lock()
		behind := f.state.Revision() == known
		f.mu.Unlock()
		if behind {
			f.pull(context.Background(), from)
		}
		f.mu.Lock()
		f.pulling, f.nextPullAt = false, time.Now().Add(pullDelay)
		f.mu.Unlock()
	})
}

// pull requests the entries that are newer at a peer and applies them. It reports whether the peer replied.
func (f *Fleet) pull(ctx context.Context, from *peer.Identity) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client, err := f.opts.Peers.Client(ctx, &peer.Member{Id: from.Daemon, PeerAddress: from.ControlAddress})
	if err != nil {
		f.opts.Log.Debug("peer connection failed", "peer", from.ControlAddress, "error", err)
		return false
	}
	f.mu.Lock()
	since := f.state.Revision()
	f.mu.Unlock()
	reply, err := client.Sync(ctx, &peer.SyncRequest{
		From: f.opts.Self.Daemon, Members: []*peer.Member{memberFromIdentity(f.opts.Self)}, Versions: []*peer.DocumentVersion{{Name: stateDocument, Version: uint64(since)}},
	})
	if err != nil {
		f.incCounter("chivewind_peer_pull_failures_total")
		f.opts.Log.Debug("state sync with peer failed", "peer", from.ControlAddress, "error", err)
		return false
	}
	f.incCounter("chivewind_peer_pulls_total")
	f.mu.Lock()
	for _, m := range reply.Members {
		f.members.SetIdentity(identityFromMember(m))
	}
	f.mu.Unlock()
	f.updateState(func(now time.Time, s *State) bool {
		changed := applyDocuments(now, s, reply.Documents)
		for _, v := range reply.Versions {
			if v.Name == stateDocument {
				s.Advance(int64(v.Version))
			}
		}
		return changed
	})
	return true
}

// applyDocuments applies entries received from another daemon and reports whether the state changed. A peer.Document is
// the encoding of an Entry; empty content means that the key was removed.
func applyDocuments(now time.Time, s *State, documents []*peer.Document) bool {
	changed := false
	for _, d := range documents {
		value := d.Content
		if len(value) == 0 {
			value = nil
		}
		changed = s.Apply(now, d.Name, int64(d.Version), value) || changed
	}
	return changed
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

// Sync implements the Sync call of the peer service: it returns the entries that are newer than the caller's
// revision, and the known members. Empty content means that the key was removed.
func (f *Fleet) Sync(_ context.Context, r *peer.SyncRequest) (*peer.SyncReply, error) {
	var since int64
	for _, v := range r.Versions {
		if v.Name == stateDocument {
			since = int64(v.Version)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range r.Members {
		f.members.SetIdentity(identityFromMember(m))
	}
	reply := &peer.SyncReply{Members: []*peer.Member{memberFromIdentity(f.opts.Self)}, Versions: []*peer.DocumentVersion{{Name: stateDocument, Version: uint64(f.state.Revision())}}}
	for _, id := range f.members.Identities() {
		reply.Members = append(reply.Members, memberFromIdentity(id))
	}
	for _, e := range f.state.Since(since) {
		reply.Documents = append(reply.Documents, &peer.Document{Name: e.Key, Version: uint64(e.Revision), Content: e.Value})
	}
	return reply, nil
}
