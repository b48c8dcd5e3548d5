package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/membership/swim"
	"github.com/chivewind/chivewind/peer"
)

// Intervals and limits of joining and of the recovery after a pause.
const (
	// syncTimeout bounds one call of Documents.SyncWith.
	syncTimeout = 2 * time.Second
	// joinRetryInterval is the time between join attempts while there is no other live member.
	joinRetryInterval = time.Second
	// rejoinInterval is the time between checks for daemons that are in the settings or in the VM
	// list but not in the view, for example after two parts of a cluster started separately.
	rejoinInterval = 30 * time.Second
	// recoveryRetryInterval is the time between sync attempts after a pause.
	recoveryRetryInterval = 200 * time.Millisecond
	// maxJoinTargets bounds the successful syncs of one join attempt.
	maxJoinTargets = 3
)

// Joined returns a channel that is closed when the first join attempt has ended: this daemon has
// synced with another one, or no known address answered and it starts alone.
func (m *Membership) Joined() <-chan struct{} { return m.joined }

func (m *Membership) joinLoop(ctx context.Context) {
	for {
		alone := len(m.otherLiveMembers()) == 0
		m.join(ctx)
		m.joinOnce.Do(func() { close(m.joined) })
		wait := rejoinInterval
		if alone && len(m.otherLiveMembers()) == 0 {
			wait = joinRetryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// join syncs with a few daemons from the settings and the VM list that are not in the view, or are in
// it as dead or left.
func (m *Membership) join(ctx context.Context) {
	addresses := slices.Clone(m.cfg.Join)
	if m.cfg.VMAddresses != nil {
		more, err := m.cfg.VMAddresses(ctx)
		if err != nil {
			m.log.Debug("no addresses from the VM list", "error", err)
		}
		addresses = append(addresses, more...)
	}
	known := map[string]bool{}
	for _, member := range m.All() {
		if member.State != peer.MemberState_MEMBER_STATE_DEAD && member.State != peer.MemberState_MEMBER_STATE_LEFT {
			known[member.PeerAddress] = true
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	joined := 0
	for _, a := range addresses {
		if known[a] || joined == maxJoinTargets || ctx.Err() != nil {
			continue
		}
		known[a] = true
		if m.syncWith(ctx, &peer.Member{PeerAddress: a}) {
			joined++
		}
	}
}

func (m *Membership) syncWith(ctx context.Context, target *peer.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := m.documents.SyncWith(ctx, target); err != nil {
		m.counters.syncErrors.Inc(1)
		m.log.Debug("sync failed", "peer", target.PeerAddress, "error", err)
		return false
	}
	return true
}

// startExchange syncs with a member in the background, unless Stop has begun.
func (m *Membership) startExchange(target *peer.Member) {
	m.recoveryMu.Lock()
	defer m.recoveryMu.Unlock()
	if m.ctx.Err() == nil {
		m.running.Go(func() { m.syncWith(m.ctx, target) })
	}
}

// otherLiveMembers returns the live members except this daemon.
func (m *Membership) otherLiveMembers() []*peer.Member {
	return slices.DeleteFunc(slices.Clone(m.Live()), func(o *peer.Member) bool { return o.Id == m.cfg.Self.Id })
}

func (m *Membership) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wall := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := m.now()
		// The monotonic clock does not advance while a VM is suspended; the wall clock does.
		current := time.Now()
		gap := max(now-time.Duration(m.lastTick.Load()), current.Round(0).Sub(wall.Round(0)))
		wall = current
		if gap > PauseThreshold {
			m.handlePause(ctx, gap)
		}
		m.lastTick.Store(int64(now))
		m.update(func(s *swim.State) { s.Tick(now) })
	}
}

// handlePause marks the view as stale and starts the recovery.
func (m *Membership) handlePause(ctx context.Context, gap time.Duration) {
	m.log.Warn("process was paused", "gap", gap)
	m.counters.pauses.Inc(1)
	m.recoveryMu.Lock()
	m.pauseSeq++
	pause := m.pauseSeq
	m.viewFresh.Store(false)
	m.recoveryMu.Unlock()
	m.update(func(s *swim.State) { s.ResumeAfterPause(m.now()) })
	m.running.Go(func() { m.recoverFromPause(ctx, pause) })
}

// recoverFromPause syncs with random live members until one sync succeeds, then marks the view as
// fresh. Without other live members there is no fresher view, and the view is marked at once. A later
// pause starts a recovery that supersedes this one.
func (m *Membership) recoverFromPause(ctx context.Context, pause int) {
	for ctx.Err() == nil {
		others := m.otherLiveMembers()
		if len(others) == 0 || m.syncWith(ctx, others[rand.IntN(len(others))]) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(recoveryRetryInterval):
		}
	}
	m.recoveryMu.Lock()
	current := pause == m.pauseSeq
	if current {
		m.viewFresh.Store(true)
	}
	m.recoveryMu.Unlock()
	if current {
		m.log.Info("membership view refreshed after a pause")
		m.notify()
	}
}
