package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/membership/swim"
	"github.com/chivewind/chivewind/peer"
)

// Times of joining and of the recovery after a pause.
const (
	syncTimeout = 2 * time.Second
	// joinRetry is the time between attempts while no other member is known.
	joinRetry = time.Second
	// joinCheck is the time between looks for daemons that are in the settings or in the VM list
	// but not in the view, for example after two halves of a fleet started apart.
	joinCheck = 30 * time.Second
	// recoverRetry is the time between attempts to sync after a pause.
	recoverRetry = 200 * time.Millisecond
	// joinTargets bounds the daemons that one round of joining asks.
	joinTargets = 3
)

// Joined is closed when the first round of joining has ended: the daemon has synced with another
// one, or none of the known addresses answered and it starts alone.
func (m *Membership) Joined() <-chan struct{} { return m.joined }

func (m *Membership) joinLoop(ctx context.Context) {
	for {
		alone := len(m.others()) == 0
		m.join(ctx)
		m.joinOnce.Do(func() { close(m.joined) })
		wait := joinCheck
		if alone && len(m.others()) == 0 {
			wait = joinRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// join syncs with a few daemons that are not in the view.
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
		if known[a] || joined == joinTargets || ctx.Err() != nil {
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
		m.count.syncErrors.Inc(1)
		m.log.Debug("sync failed", "peer", target.PeerAddress, "error", err)
		return false
	}
	return true
}

// startExchange exchanges views with a member in the background.
func (m *Membership) startExchange(target *peer.Member) {
	m.trustMu.Lock()
	defer m.trustMu.Unlock()
	if m.ctx.Err() == nil {
		m.running.Go(func() { m.syncWith(m.ctx, target) })
	}
}

// others returns the live members except this daemon.
func (m *Membership) others() []*peer.Member {
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
		// The monotonic clock stands still while a VM is suspended, the wall clock does not.
		current := time.Now()
		gap := max(now-time.Duration(m.lastTick.Load()), current.Round(0).Sub(wall.Round(0)))
		wall = current
		if gap > PauseLimit {
			m.paused(ctx, gap)
		}
		m.lastTick.Store(int64(now))
		m.do(func(s *swim.State) { s.Tick(now) })
	}
}

// paused withdraws the trust in this daemon's view and starts its recovery.
func (m *Membership) paused(ctx context.Context, gap time.Duration) {
	m.log.Warn("process was paused", "gap", gap)
	m.count.pauses.Inc(1)
	m.trustMu.Lock()
	m.pauses++
	pause := m.pauses
	m.trusted.Store(false)
	m.trustMu.Unlock()
	m.do(func(s *swim.State) { s.Restart(m.now()) })
	m.running.Go(func() { m.recover(ctx, pause) })
}

// recover syncs with random members until one answers. Without other live members there is no
// fresher view than this one. A later pause starts its own recovery and ends the effect of this one.
func (m *Membership) recover(ctx context.Context, pause int) {
	for ctx.Err() == nil {
		others := m.others()
		if len(others) == 0 || m.syncWith(ctx, others[rand.IntN(len(others))]) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(recoverRetry):
		}
	}
	m.trustMu.Lock()
	current := pause == m.pauses
	if current {
		m.trusted.Store(true)
	}
	m.trustMu.Unlock()
	if current {
		m.log.Info("view is trusted again")
		m.notify()
	}
}
