package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

const (
	// smallFleetReportInterval is the minimum time between two iterations of reportLoop in a small fleet. It does not
	// delay other reports: a daemon immediately announces a change of its state, a change of the store if it watches
	// the store, and the first failure of a call to the store.
	smallFleetReportInterval = 80 * time.Millisecond
	// largeFleetReportInterval is the same for a larger fleet. It can be longer, because the scheduler is also informed
	// of each request separately.
	largeFleetReportInterval = 400 * time.Millisecond
	// rosterInterval is how often a relay checks whether its roster has changed, and rosterCheckInterval how often a
	// daemon checks whether it has the rosters of the relays.
	rosterInterval      = 100 * time.Millisecond
	rosterCheckInterval = 500 * time.Millisecond
	// rosterRepeats is how often a relay sends a change of its roster again, once every rosterInterval. The next heartbeat
	// would come too late for those who lost the first report.
	rosterRepeats = 2
	// maxLoadRecipients is the maximum number of daemons that receive full reports in a larger fleet: the first ones in
	// the order of Schedulers, which are the scheduler and the daemons that replace it if it fails.
	maxLoadRecipients = 3
	// iterationsPerIdentity sets how often the reports of reportLoop include the sender's addresses: in one of this many
	// iterations. An iteration sends up to two reports, see sendReports. Reports include the addresses also after a
	// change of the relays or of the daemon's state.
	iterationsPerIdentity = 8
	// maxDatagramBytes is the maximum size of a received datagram, which is that of UDP.
	maxDatagramBytes = 64 << 10
)

// audience selects the recipients of a report.
type audience int

const (
	// loadAudience are all daemons of a small fleet, or the load recipients of a larger one.
	loadAudience audience = iota
	// heartbeatAudience are the loadAudience and, in a larger fleet, the relays, or all daemons if the sender is a relay.
	heartbeatAudience
	// everyone are all known daemons, whether live or not.
	everyone
)

// reportLoop sends reports after changes of the load and as heartbeats until ctx is canceled.
func (f *Fleet) reportLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var heartbeatAt time.Time
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-f.reportPending:
		case <-timer.C:
		}
		now := time.Now()
		to, identify := loadAudience, n%iterationsPerIdentity == 0
		if !now.Before(heartbeatAt) {
			to = heartbeatAudience
			f.mu.Lock()
			f.members.UpdateRelays(now)
			identify = identify || f.members.MustIdentify(now)
			heartbeatAt = now.Add(f.members.HeartbeatInterval())
			f.mu.Unlock()
			f.expireState()
		}
		f.sendReports(to, identify)
		sleepContext(ctx, f.reportInterval())
		timer.Reset(max(time.Until(heartbeatAt), time.Millisecond))
	}
}

// reportInterval returns the minimum time between two iterations of reportLoop.
func (f *Fleet) reportInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.isLarge() {
		return largeFleetReportInterval
	}
	return smallFleetReportInterval
}

// publishRosterLoop updates the roster of this daemon while it is a relay, and sends each change to all daemons several
// times.
func (f *Fleet) publishRosterLoop(ctx context.Context) {
	sends := 0
	for ctx.Err() == nil {
		sleepContext(ctx, rosterInterval)
		f.mu.Lock()
		changed := f.members.PublishRoster(time.Now(), rosterEntry{incarnation: f.incarnation, state: f.selfState})
		f.mu.Unlock()
		if changed {
			sends = 1 + rosterRepeats
		}
		if sends > 0 {
			sends--
			f.sendReports(heartbeatAudience, false)
		}
	}
}

// pullRosterLoop pulls rosters of relays that this daemon knows incompletely.
func (f *Fleet) pullRosterLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleepContext(ctx, rosterCheckInterval)
		f.mu.Lock()
		source := f.members.RosterSource(time.Now())
		f.mu.Unlock()
		if source != nil {
			f.pullRoster(ctx, source)
		}
	}
}

// recentChange holds the entries that changed after the revision since, up to the revision to, in the form in which
// reports include them until the given time.
type recentChange struct {
	since int64
	to    int64
	// entries is nil if their bytes, of which size is the number, do not fit into a report.
	entries []*peer.Document
	size    int
	until   time.Time
}

const (
	// recentChangeTTL is how long reports include a changed entry.
	recentChangeTTL = time.Second
	// maxRecentChangeBytes bounds the changed entries in one report. Daemons pull the entries that do not fit.
	maxRecentChangeBytes = 4 << 10
)

// announceIntervalPerDaemon is the minimum time between two announcements of changes per known daemon. An
// announcement has up to maxRecentChangeBytes for each of them, so that announcements take at most 32 Mbit/s of a
// relay's link.
const announceIntervalPerDaemon = time.Millisecond

// announceChanges sends the recent changes to the other daemons. Changes that follow each other quickly, as when many
// endpoints register at the same time, are announced together.
func (f *Fleet) announceChanges() {
	f.mu.Lock()
	now := time.Now()
	wait := f.nextAnnouncementAt.Sub(now)
	announce := wait <= 0
	switch {
	case announce:
		f.scheduleNextAnnouncement(now)
	case !f.announcementPending:
		f.announcementPending = true
		time.AfterFunc(wait, func() {
			f.mu.Lock()
			f.announcementPending = false
			f.scheduleNextAnnouncement(time.Now())
			f.mu.Unlock()
			f.sendReports(heartbeatAudience, false)
		})
	}
	f.mu.Unlock()
	if announce {
		f.sendReports(heartbeatAudience, false)
	}
}

// scheduleNextAnnouncement sets the earliest time of the announcement after one that is sent now. f.mu must be held.
func (f *Fleet) scheduleNextAnnouncement(now time.Time) {
	f.nextAnnouncementAt = now.Add(time.Duration(f.members.Size()) * announceIntervalPerDaemon)
}

// addRecentChange adds the entries that changed after the revision since to the following reports. tableRevision was
// the revision of the routing table then. f.mu must be held.
func (f *Fleet) addRecentChange(now time.Time, since, tableRevision int64) {
	c := recentChange{
		since: since, to: f.state.Revision(), entries: documentsFromEntries(f.state.Since(since, tableRevision)), until: now.Add(recentChangeTTL),
	}
	for _, e := range c.entries {
		c.size += len(e.Name) + len(e.Content)
	}
	if c.size > maxRecentChangeBytes {
		// A large table would be held in memory for each of its versions.
		c.entries = nil
	}
	f.recentChanges = append(f.recentChanges, c)
}

// recentEntries returns the recently changed entries that fit into a report, oldest change first, and a revision: the
// entries include all changes after it. The revision is 0 if no entries fit or none are recent. f.mu must be held.
func (f *Fleet) recentEntries(now time.Time) (entries []*peer.Document, since int64) {
	f.recentChanges = slices.DeleteFunc(f.recentChanges, func(c recentChange) bool { return now.After(c.until) })
	size := 0
	first := len(f.recentChanges)
	for first > 0 {
		if first < len(f.recentChanges) && f.recentChanges[first-1].to != since {
			break // changes between the two are missing
		}
		size += f.recentChanges[first-1].size
		if size > maxRecentChangeBytes {
			break
		}
		first--
		since = f.recentChanges[first].since
	}
	for _, c := range f.recentChanges[first:] {
		entries = append(entries, c.entries...)
	}
	if since > 0 {
		since = max(since, f.state.RemovalsSince())
	}
	return entries, since
}

// buildReport returns a report with the daemon's current state and the load that Reporter.FillReport adds. Unless full
// is set, it lacks the load of model engines, the demand and the cached prompt parts.
func (f *Fleet) buildReport(full, withIdentity bool) *peer.Report {
	const unknownAgeMs = 1 << 30
	now := time.Now()
	f.mu.Lock()
	f.reportSequence++
	r := &peer.Report{
		Daemon: f.opts.Self.Daemon, Incarnation: f.incarnation, Sequence: f.reportSequence, State: f.selfState, Revision: f.state.Revision(),
		StateDigest: f.state.Digest(), StoreAgeMs: unknownAgeMs,
	}
	if f.members.ForwardsChanges(now, watcherMaxAge) {
		r.Entries, r.EntriesSince = f.recentEntries(now)
	}
	r.Roster, r.RosterDigest = f.members.RosterChanges(now)
	if !f.lastStoreReply.IsZero() && !f.storeFailing {
		r.StoreAgeMs = uint32(min(now.Sub(f.lastStoreReply).Milliseconds(), unknownAgeMs))
	}
	f.mu.Unlock()
	if withIdentity {
		r.Identity = f.opts.Self
	}
	f.opts.Reporter.FillReport(r, full)
	return r
}

// announceState immediately sends the daemon's state to everyone.
func (f *Fleet) announceState() { f.sendReports(everyone, true) }

// sendReports sends a full report, see buildReport, to the loadAudience, and a report that is not full to the remaining
// daemons of the given audience.
func (f *Fleet) sendReports(to audience, withIdentity bool) {
	f.mu.Lock()
	loadRecipients, others := f.recipients(to)
	f.mu.Unlock()
	if len(loadRecipients) > 0 {
		f.send(&peer.Datagram{Message: &peer.Datagram_Report{Report: f.buildReport(true, withIdentity)}}, loadRecipients...)
	}
	if len(others) > 0 {
		f.send(&peer.Datagram{Message: &peer.Datagram_Report{Report: f.buildReport(false, withIdentity)}}, others...)
	}
}

// recipients returns the loadAudience and the remaining daemons of an audience. f.mu must be held.
func (f *Fleet) recipients(to audience) (loadRecipients, others []*peer.Identity) {
	if !f.members.isLarge() {
		return f.members.Identities(), nil
	}
	loadRecipients = f.loadRecipients()
	switch {
	case to == loadAudience:
		return loadRecipients, nil
	case to == everyone || f.members.IsRelay():
		others = f.members.Identities()
	default:
		others = f.members.RelayIdentities()
	}
	return loadRecipients, slices.DeleteFunc(others, func(id *peer.Identity) bool {
		return slices.ContainsFunc(loadRecipients, func(other *peer.Identity) bool { return other.Daemon == id.Daemon })
	})
}

// loadRecipients returns the first maxLoadRecipients daemons in the order of Schedulers, without this daemon. f.mu must
// be held.
func (f *Fleet) loadRecipients() []*peer.Identity {
	var ids []*peer.Identity
	for _, m := range f.members.Schedulers(time.Now(), f.selfState == peer.DaemonState_DAEMON_STATE_READY) {
		if len(ids) == maxLoadRecipients {
			break
		}
		if m.Identity.Daemon != f.opts.Self.Daemon {
			ids = append(ids, m.Identity)
		}
	}
	return ids
}

// Send sends a scheduling message to a daemon. Delivery is not guaranteed.
func (f *Fleet) Send(d *peer.Datagram, to *peer.Identity) { f.send(d, to) }

// SendTo sends a scheduling message to an address, as a reply to a datagram from there. Delivery is not guaranteed.
func (f *Fleet) SendTo(d *peer.Datagram, address netip.AddrPort) {
	raw, err := proto.Marshal(d)
	if err != nil {
		f.opts.Log.Error("datagram could not be encoded", "error", err)
		return
	}
	f.writeDatagram(raw, address)
}

func (f *Fleet) send(d *peer.Datagram, to ...*peer.Identity) {
	raw, err := proto.Marshal(d)
	if err != nil {
		f.opts.Log.Error("datagram could not be encoded", "error", err)
		return
	}
	for _, id := range to {
		address, err := netip.ParseAddrPort(id.ReportAddress)
		if err != nil {
			f.opts.Log.Warn("invalid report address of daemon ignored", "daemon", id.Daemon, "error", err)
			continue
		}
		f.writeDatagram(raw, address)
	}
}

// writeDatagram sends a datagram. A failure is only counted, because delivery is not guaranteed and callers must cope
// with lost datagrams anyway: a later report replaces a lost one, place requests are sent again if no reply arrives,
// and progress reports repeat earlier items.
func (f *Fleet) writeDatagram(raw []byte, address netip.AddrPort) {
	if _, err := f.socket.WriteToUDPAddrPort(raw, address); err != nil {
		f.incCounter("chivewind_report_send_failures_total")
	}
}

// expireState discards the load of daemons that have been silent for forgetLoadAfter, removes those that have been
// silent for removeAfter, and discards old removals of keys.
func (f *Fleet) expireState() {
	const (
		forgetLoadAfter = 5 * time.Second
		removeAfter     = 30 * time.Second
	)
	now := time.Now()
	f.mu.Lock()
	newlySilent := f.members.Silent(now, forgetLoadAfter)
	f.members.RemoveSilent(now, removeAfter)
	f.state.ExpireTombstones(now)
	f.mu.Unlock()
	for _, id := range newlySilent {
		f.opts.Log.Info("daemon silent", "daemon", id)
		f.opts.Reporter.ForgetDaemon(id)
	}
}

// receiveLoop processes datagrams of other daemons until the socket is closed.
func (f *Fleet) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := f.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.incCounter("chivewind_report_receive_failures_total")
			continue
		}
		d := &peer.Datagram{}
		if err := proto.Unmarshal(buffer[:n], d); err != nil {
			f.incCounter("chivewind_report_rejected_total")
			continue
		}
		if r := d.GetReport(); r != nil {
			f.handleReport(r)
			continue
		}
		f.opts.Reporter.HandleDatagram(d, from)
	}
}

// handleReport applies the entries of a report, also if RecordReport then rejects the report as old or because its
// sender is not known: each entry has its own revision, State.Apply ignores those that are not newer, and
// State.ApplyPeerState never lowers the revision of the state.
func (f *Fleet) handleReport(r *peer.Report) {
	receivedAt := time.Now()
	f.mu.Lock()
	newer := r.Revision > f.state.Revision()
	f.mu.Unlock()
	if len(r.Entries) > 0 || newer {
		state := &PeerState{Revision: r.Revision, Digest: r.StateDigest, Entries: entriesFromDocuments(r.Entries), EntriesSince: r.EntriesSince}
		if r.EntriesSince == 0 {
			state.EntriesSince = r.Revision // the entries are not complete
		}
		f.updateState(func(now time.Time, s *State) bool { return s.ApplyPeerState(now, state) })
	}
	f.mu.Lock()
	member := f.members.RecordReport(receivedAt, r)
	if member != nil {
		f.members.RecordRoster(receivedAt, r.Daemon, r.Roster, r.RosterDigest)
	}
	if member != nil && r.Revision > f.state.Revision() {
		f.schedulePull(receivedAt)
	}
	f.mu.Unlock()
	if member != nil {
		f.opts.Reporter.HandleReport(r)
	}
}
