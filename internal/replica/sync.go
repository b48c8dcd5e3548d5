package replica

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/internal/membership/swim"
	"github.com/chivewind/chivewind/peer"
)

// maxSyncRounds bounds the calls of one SyncWith.
const maxSyncRounds = 8

// antiEntropyLoop syncs with a random peer every antiEntropyInterval, and earlier if no peer has
// confirmed the documents for maxConfirmationAge.
func (r *Replica) antiEntropyLoop() {
	ticker := time.NewTicker(confirmationCheckInterval)
	defer ticker.Stop()
	// A random initial delay spreads the exchanges of daemons that start together.
	r.mu.Lock()
	next := r.now() + time.Duration(r.rng.Int64N(int64(antiEntropyInterval)))
	r.mu.Unlock()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if r.now() < next && r.confirmationAge() < maxConfirmationAge {
			continue
		}
		if target := r.randomPeer(); target != nil {
			if r.now() >= next {
				next = r.now() + antiEntropyInterval
			}
			if err := r.SyncWith(r.ctx, target); err != nil {
				r.log.Debug("anti-entropy exchange failed", "peer", target.Id, "error", err)
			}
		}
	}
}

// randomPeer returns a random live member other than this daemon, or nil if a few draws find none.
func (r *Replica) randomPeer() *peer.Member {
	self := r.members.Self().Id
	live := r.members.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 8 {
		if len(live) == 0 {
			return nil
		}
		if m := live[r.rng.IntN(len(live))]; m.Id != self {
			return m
		}
	}
	return nil
}

// advertiseLoop advertises new versions immediately, and again after readvertiseDelay for the
// daemons that the first round missed: in a cluster of 8, a single round to 3 members per daemon
// misses about one daemon in fifty.
func (r *Replica) advertiseLoop() {
	var again <-chan time.Time
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.advertiseSignal:
			r.members.Advertise()
			if again == nil {
				again = time.After(readvertiseDelay)
			}
		case <-again:
			again = nil
			r.members.Advertise()
		}
	}
}

// pull fetches documents in the background from the peer that advertised them.
func (r *Replica) pull(from *peer.Member, want []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Checked under the lock, so that no pull starts while Stop waits for them.
	if r.ctx.Err() != nil {
		return
	}
	r.running.Go(func() {
		select {
		case <-r.ctx.Done():
			return
		case r.pullSlots <- struct{}{}:
		}
		defer func() { <-r.pullSlots }()
		r.counters.pulls.Inc(1)
		ctx, cancel := context.WithTimeout(r.ctx, syncTimeout)
		defer cancel()
		reply, err := r.call(ctx, from, &peer.SyncRequest{From: r.members.Self().Id, Want: want})
		if err == nil {
			r.storeAll(reply.Documents)
		} else {
			r.counters.pullErrors.Inc(1)
			r.log.Debug("pull failed", "peer", from.Id, "error", err)
		}
		r.mu.Lock()
		for _, name := range want {
			delete(r.pulling, name)
		}
		r.mu.Unlock()
	})
}

// storeAll stores documents and returns how many of them were newer.
func (r *Replica) storeAll(documents []*peer.Document) int {
	stored := 0
	for _, d := range documents {
		if r.store(d.Name, d.Version, d.Content) {
			stored++
		}
	}
	return stored
}

func (r *Replica) call(ctx context.Context, to *peer.Member, request *peer.SyncRequest) (*peer.SyncReply, error) {
	client, err := r.peers.Client(ctx, to)
	if err != nil {
		return nil, err
	}
	reply, err := client.Sync(ctx, request)
	if err != nil {
		return nil, oops.With("step", "sync").With("peer", to.PeerAddress).Wrap(err)
	}
	return reply, nil
}

// SyncWith implements membership.Documents: it exchanges members with a peer and fetches the
// documents of which the peer has a newer version, in at most maxSyncRounds calls. Documents that are
// older on the peer are listed in the next heartbeats, and the peer pulls them when it receives one.
func (r *Replica) SyncWith(ctx context.Context, member *peer.Member) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	push := []*peer.Member{r.members.Self()}
	for round := range maxSyncRounds {
		request := &peer.SyncRequest{From: r.members.Self().Id, Members: push, Versions: r.allVersions()}
		reply, err := r.call(ctx, member, request)
		if err != nil {
			return err
		}
		r.members.Merge(reply.Members)
		stored := r.storeAll(reply.Documents)
		push = nil
		if round == 0 && len(reply.Members) > 0 {
			push = r.newerMembers(reply.Members)
		}
		if stored == 0 && push == nil {
			r.advertiseNewer(reply.Versions)
			break
		}
	}
	r.mu.Lock()
	r.confirmedAt = r.now()
	r.mu.Unlock()
	return nil
}

// newerMembers returns the records that are missing from a peer's records or newer than those.
func (r *Replica) newerMembers(theirs []*peer.Member) []*peer.Member {
	known := make(map[string]*peer.Member, len(theirs))
	for _, m := range theirs {
		known[m.Id] = m
	}
	var newer []*peer.Member
	for _, m := range r.members.All() {
		if their, ok := known[m.Id]; !ok || swim.Supersedes(m, their) {
			newer = append(newer, m)
		}
	}
	return newer
}

// advertiseNewer advertises the documents of which a peer has an older version or none.
func (r *Replica) advertiseNewer(theirs []*peer.DocumentVersion) {
	known := make(map[string]uint64, len(theirs))
	for _, v := range theirs {
		known[v.Name] = v.Version
	}
	found := false
	r.mu.Lock()
	for name, d := range r.documents {
		if d.version > known[name] {
			r.addRecentChange(name)
			found = true
		}
	}
	r.mu.Unlock()
	if found {
		r.members.Advertise()
	}
}

// Sync handles the Sync RPC of another daemon.
func (r *Replica) Sync(_ context.Context, request *peer.SyncRequest) (*peer.SyncReply, error) {
	r.members.Merge(request.Members)
	reply := &peer.SyncReply{}
	if len(request.Want) > 0 {
		reply.Documents = r.documentsNamed(request.Want)
		return reply, nil
	}
	theirs := make(map[string]uint64, len(request.Versions))
	for _, v := range request.Versions {
		theirs[v.Name] = v.Version
	}
	reply.Versions = r.allVersions()
	if theirs[membersDigestName] != r.members.Digest() {
		reply.Members = r.members.All()
	}
	reply.Documents = r.documentsNewerThan(theirs)
	return reply, nil
}

func (r *Replica) documentsNamed(names []string) []*peer.Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*peer.Document
	for _, name := range names {
		if d, ok := r.documents[name]; ok {
			list = append(list, &peer.Document{Name: name, Version: d.version, Content: d.content})
		}
	}
	return list
}

// documentsNewerThan returns documents with newer versions than the given ones. Their contents have
// at most maxReplyBytes in total, unless there is only one document.
func (r *Replica) documentsNewerThan(theirs map[string]uint64) []*peer.Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*peer.Document
	size := 0
	for name, d := range r.documents {
		if d.version <= theirs[name] {
			continue
		}
		if len(list) > 0 && size+len(d.content) > maxReplyBytes {
			continue
		}
		size += len(d.content)
		list = append(list, &peer.Document{Name: name, Version: d.version, Content: d.content})
	}
	return list
}
