package membership

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivewind/chivewind/internal/membership/swim"
	"github.com/chivewind/chivewind/peer"
)

// Limits of an announcement.
const (
	announceTimeout  = time.Second
	announceParallel = 32
	announceRetry    = 200 * time.Millisecond
)

// Leave announces that this daemon is leaving and returns when no member names it to callers or
// gives it work any more: each has acknowledged, or has had the time to declare it dead.
func (m *Membership) Leave(ctx context.Context) error {
	m.do(func(s *swim.State) { s.Leave(false) })
	limit := m.cfg.Protocol.SuspicionTimeout + 2*m.cfg.Protocol.ProbeInterval
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := &peer.AnnounceRequest{From: m.cfg.Self.Id, Leaving: m.Self()}
	var group errgroup.Group
	group.SetLimit(announceParallel)
	for _, member := range m.others() {
		group.Go(func() error {
			return m.announceUntil(ctx, member, request)
		})
	}
	if err := group.Wait(); err != nil {
		m.log.Warn("not all members acknowledged the leave", "error", err)
		// The limit counts from the start of the leave also for members that failed early.
		<-ctx.Done()
	}
	return parent.Err()
}

// announceUntil repeats an announcement until it is acknowledged or the member is dead.
func (m *Membership) announceUntil(ctx context.Context, to *peer.Member, request *peer.AnnounceRequest) error {
	for {
		err := m.announceOnce(ctx, to, request)
		if err == nil {
			return nil
		}
		if now := m.view.Load().find(to.Id); now == nil || gone(now.State) {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(announceRetry):
		}
	}
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

func gone(s peer.MemberState) bool {
	return s == peer.MemberState_MEMBER_STATE_DEAD || s == peer.MemberState_MEMBER_STATE_LEFT
}

// Announce sends a message to all live members in parallel and returns when each reachable one has
// acknowledged, or after a second. It implements dispatch.Announcer.
func (m *Membership) Announce(ctx context.Context, request *peer.AnnounceRequest) error {
	var mu sync.Mutex
	var first error
	var group errgroup.Group
	group.SetLimit(announceParallel)
	for _, member := range m.others() {
		group.Go(func() error {
			err := m.announceOnce(ctx, member, request)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = err
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return first
}

// HandleAnnounce applies the membership part of another daemon's announcement.
func (m *Membership) HandleAnnounce(request *peer.AnnounceRequest) {
	if request.Leaving != nil {
		m.Merge([]*peer.Member{request.Leaving})
	}
}
