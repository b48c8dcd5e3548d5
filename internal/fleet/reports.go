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
	// maxSmallFleetPeers is the maximum number of other daemons in a small fleet. There, full reports go to all
	// daemons, and all daemons forward changes of the store.
	maxSmallFleetPeers = 8
	// maxLoadRecipients is the maximum number of daemons that receive full reports in a larger fleet: the first ones in
	// the order of Schedulers, which are the scheduler and the daemons that replace it if it fails.
	maxLoadRecipients = 3
	// iterationsPerIdentity sets how often the reports of reportLoop include the sender's addresses: in one of this many
	// iterations. An iteration sends up to two reports, see sendReports. A report of a change of the daemon's state
	// always includes the addresses.
	iterationsPerIdentity = 8
	// maxDatagramBytes is the maximum size of a received datagram.
	maxDatagramBytes = 8 << 10
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
		heartbeatDue := !time.Now().Before(heartbeatAt)
		peers := f.sendReports(heartbeatDue, n%iterationsPerIdentity == 0)
		if heartbeatDue {
			heartbeatAt = time.Now().Add(f.nextHeartbeatInterval(peers + 1))
			f.expireSilentDaemons()
		}
		sleepContext(ctx, reportInterval(peers))
		timer.Reset(max(time.Until(heartbeatAt), time.Millisecond))
	}
}

// reportInterval returns the minimum time between two iterations of reportLoop in a fleet with the given
// number of other daemons.
func reportInterval(peers int) time.Duration {
	if peers > maxSmallFleetPeers {
		return largeFleetReportInterval
	}
	return smallFleetReportInterval
}

// nextHeartbeatInterval returns the time until the next heartbeat in a fleet of fleetSize daemons, including this one.
// Watchers always use the base interval, because other daemons rely on their reports.
func (f *Fleet) nextHeartbeatInterval(fleetSize int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.MustWatch(time.Now(), watcherMaxAge) {
		return baseHeartbeatInterval
	}
	return heartbeatInterval(fleetSize)
}

// recentChange holds the entries that changed after the revision since, in the form in which reports include them until
// the given time.
type recentChange struct {
	since   int64
	entries []*peer.Document
	until   time.Time
}

const (
	// recentChangeTTL is how long reports include a changed entry.
	recentChangeTTL = time.Second
	// maxRecentChangeBytes bounds the changed entries in one report. Daemons pull the entries that do not fit.
	maxRecentChangeBytes = 4 << 10
)

// announceChanges adds the entries that changed after revision since to the following reports. A watcher also sends a
// report immediately.
func (f *Fleet) announceChanges(since int64) {
	f.mu.Lock()
	change := recentChange{since: since, until: time.Now().Add(recentChangeTTL)}
	for _, e := range f.state.Since(since) {
		change.entries = append(change.entries, &peer.Document{Name: e.Key, Version: uint64(e.Revision), Content: e.Value})
	}
	f.recentChanges = append(f.recentChanges, change)
	watching := f.members.MustWatch(time.Now(), watcherMaxAge)
	f.mu.Unlock()
	if watching {
		f.sendReports(true, false)
	}
}

// recentEntries returns the recently changed entries that fit into a report, newest change first, and a revision: the
// entries include all changes after it. The revision is 0 if no entries fit or none are recent. f.mu must be held.
func (f *Fleet) recentEntries(now time.Time) (entries []*peer.Document, since int64) {
	f.recentChanges = slices.DeleteFunc(f.recentChanges, func(c recentChange) bool { return now.After(c.until) })
	size := 0
	for i := len(f.recentChanges) - 1; i >= 0; i-- {
		for _, e := range f.recentChanges[i].entries {
			size += len(e.Name) + len(e.Content)
		}
		if size > maxRecentChangeBytes {
			break
		}
		entries = append(entries, f.recentChanges[i].entries...)
		since = f.recentChanges[i].since
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
		StoreAgeMs: unknownAgeMs,
	}
	if f.members.ForwardsChanges(now, watcherMaxAge) {
		r.Entries, r.EntriesSince = f.recentEntries(now)
	}
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

// announceState immediately sends the daemon's state to all known daemons, whether live or not.
func (f *Fleet) announceState() { f.sendReports(true, true) }

// sendReports sends a full report, see buildReport, to all other daemons of a small fleet or to the load recipients of
// a larger one. If toAll is set, it sends a report that is not full to the remaining daemons. It returns the number of
// other daemons.
func (f *Fleet) sendReports(toAll, withIdentity bool) int {
	f.mu.Lock()
	all := f.members.Identities()
	loadRecipients := all
	if len(all) > maxSmallFleetPeers {
		loadRecipients = f.loadRecipients()
	}
	f.mu.Unlock()
	if len(loadRecipients) > 0 {
		f.send(&peer.Datagram{Message: &peer.Datagram_Report{Report: f.buildReport(true, withIdentity)}}, loadRecipients...)
	}
	otherRecipients := slices.DeleteFunc(slices.Clone(all), func(id *peer.Identity) bool {
		return slices.ContainsFunc(loadRecipients, func(other *peer.Identity) bool { return other.Daemon == id.Daemon })
	})
	if toAll && len(otherRecipients) > 0 {
		f.send(&peer.Datagram{Message: &peer.Datagram_Report{Report: f.buildReport(false, withIdentity)}}, otherRecipients...)
	}
	return len(all)
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

// expireSilentDaemons discards the load of daemons that have become silent, which means that they have sent reports but
// are no longer live. It removes a daemon only if it is not registered in the store and has sent no report for
// removeAfter or none at all.
func (f *Fleet) expireSilentDaemons() {
	const removeAfter = 30 * time.Second
	now := time.Now()
	var newlySilent []string
	f.mu.Lock()
	for id, member := range f.members.members {
		silent := !member.LastReport.IsZero() && !f.members.isLive(now, member)
		if silent && !f.silentDaemons[id] {
			newlySilent = append(newlySilent, id)
		}
		f.silentDaemons[id] = silent
	}
	f.members.RemoveSilent(now, removeAfter, func(daemon string) bool { return f.registeredDaemons[daemon] })
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
// sender is not known: each entry has its own revision, State.Apply ignores those that are not newer, and State.Advance
// never lowers the revision of the state.
func (f *Fleet) handleReport(r *peer.Report) {
	receivedAt := time.Now()
	if len(r.Entries) > 0 {
		f.updateState(func(now time.Time, s *State) bool {
			changed := applyDocuments(now, s, r.Entries)
			if r.EntriesSince > 0 && s.Revision() >= r.EntriesSince {
				// The entries are all changes between EntriesSince and the sender's revision.
				s.Advance(r.Revision)
			}
			return changed
		})
	}
	f.mu.Lock()
	member := f.members.RecordReport(receivedAt, r)
	var from *peer.Identity
	if member != nil {
		from = member.Identity
		if r.Revision > f.state.Revision() {
			f.schedulePull(receivedAt, from)
		}
	}
	f.mu.Unlock()
	if from != nil {
		f.opts.Reporter.HandleReport(r)
	}
}
