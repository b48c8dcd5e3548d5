package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivewind/chivewind/internal/membership/swim"
	"github.com/chivewind/chivewind/peer"
)

// Limits of an announcement.
const (
	announceTimeout       = time.Second
	announceConcurrency   = 64
	announceRetryInterval = 200 * time.Millisecond
)

// Leave announces that this daemon is leaving, so that the other members no longer include it in entry
// answers or assign work to it. It returns when each of them has acknowledged, is dead or has left. It
// stops retrying after the suspicion timeout and two probe intervals: in that time, members that cannot
// be reached should declare this daemon dead. It fails only if ctx ends first.
func (m *Membership) Leave(ctx context.Context) error {
	m.update(func(s *swim.State) { s.Leave(false) })
	timeout := time.NewTimer(m.cfg.Protocol.SuspicionTimeout + 2*m.cfg.Protocol.ProbeInterval)
	defer timeout.Stop()
	request := &peer.AnnounceRequest{From: m.cfg.Self.Id, Leaving: m.Self()}
	pending := m.otherLiveMembers()
	for {
		// Each round contacts all pending members before any is retried, so that unresponsive members
		// do not delay the others.
		pending, _ = m.announceAll(ctx, pending, request)
		pending = slices.DeleteFunc(pending, func(p *peer.Member) bool {
			current := m.view.Load().find(p.Id)
			return current == nil || isDeadOrLeft(current.State)
		})
		if len(pending) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			m.log.Warn("not all members acknowledged the leave", "missing", len(pending))
			return nil
		case <-time.After(announceRetryInterval):
		}
	}
}

// announceAll sends an announcement to members in parallel. It returns the members that did not
// acknowledge and the first error.
func (m *Membership) announceAll(ctx context.Context, to []*peer.Member, request *peer.AnnounceRequest) ([]*peer.Member, error) {
	var mu sync.Mutex
	var unacknowledged []*peer.Member
	var firstErr error
	var group errgroup.Group
	group.SetLimit(announceConcurrency)
	for _, member := range to {
		group.Go(func() error {
			if err := m.announceOnce(ctx, member, request); err != nil {
				mu.Lock()
				defer mu.Unlock()
				unacknowledged = append(unacknowledged, member)
				if firstErr == nil {
					firstErr = err
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return unacknowledged, firstErr
}

func (m *Membership) announceOnce(ctx context.Context, to *peer.Member, request *peer.AnnounceRequest) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	client, err := m.cfg.Peers.Client(ctx, to)
	if err != nil {
		return err
	}
	_, err = client.Announce(ctx, request)
	return err
}

func isDeadOrLeft(s peer.MemberState) bool {
	return s == peer.MemberState_MEMBER_STATE_DEAD || s == peer.MemberState_MEMBER_STATE_LEFT
}

// Announce sends an announcement to all other live members, to at most announceConcurrency at a time.
// It returns when each has acknowledged or its call has failed, which takes at most announceTimeout per
// call. The error is the first one. It implements dispatch.Announcer.
func (m *Membership) Announce(ctx context.Context, request *peer.AnnounceRequest) error {
	_, err := m.announceAll(ctx, m.otherLiveMembers(), request)
	return err
}

// HandleAnnounce applies the membership part of another daemon's announcement.
func (m *Membership) HandleAnnounce(request *peer.AnnounceRequest) {
	if request.Leaving != nil {
		m.Merge([]*peer.Member{request.Leaving})
	}
}
