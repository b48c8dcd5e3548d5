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
	// minReportInterval is the shortest time between two reports of a small fleet.
	minReportInterval = 80 * time.Millisecond
	// largeReportInterval is the same for a fleet above smallFleet: its scheduler hears of each request, and
	// the reports only keep the daemons informed that would take its place.
	largeReportInterval = 400 * time.Millisecond
	// maxSmallFleetPeers is the number of other daemons up to which all of them get the load.
	maxSmallFleetPeers = 8
	// maxLoadRecipients is the number of daemons that get the load in a larger fleet: the scheduler and those
	// that would take its place.
	maxLoadRecipients = 3
	// reportsPerIdentity is the number of reports of which one carries the sender's addresses.
	reportsPerIdentity = 8
	// maxDatagramBytes bounds a report, in bytes.
	maxDatagramBytes = 8 << 10
)

// reportLoop sends a reportLoop when the load has changed, and as a heartbeat.
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
		due := !time.Now().Before(heartbeatAt)
		size := f.sendReports(due, n%reportsPerIdentity == 0)
		if due {
			heartbeatAt = time.Now().Add(f.nextHeartbeatInterval(size + 1))
			f.dropSilentDaemons()
		}
		sleepContext(ctx, reportInterval(size))
		timer.Reset(max(time.Until(heartbeatAt), time.Millisecond))
	}
}

// reportInterval returns the shortest time between two reports of the load.
func reportInterval(size int) time.Duration {
	if size > maxSmallFleetPeers {
		return largeReportInterval
	}
	return minReportInterval
}

// nextHeartbeatInterval returns the time until the next report without a change. Others rely on a watcher's reports.
func (f *Fleet) nextHeartbeatInterval(size int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.MustWatch(time.Now(), watcherMaxAge) {
		return minHeartbeatInterval
	}
	return heartbeatInterval(size)
}

// recentChange is a step of the state's revision with the keys that changed in it.
type recentChange struct {
	since   int64
	entries []*peer.Document
	until   time.Time
}

const (
	// recentChangeTTL is how long reports repeat changed keys.
	recentChangeTTL = time.Second
	// maxRecentChangeBytes bounds the changed keys in one report; daemons ask for what does not fit.
	maxRecentChangeBytes = 4 << 10
)

// announceChanges tells the others at once of the keys that have changed since a revision.
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

// recentEntries returns the keys that changed after a revision, or nothing when they are too large for a
// report. mu is held.
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

// buildReport returns the daemon's present state, with the load of engines when full is set.
func (f *Fleet) buildReport(full, withIdentity bool) *peer.Report {
	const unknownAge = 1 << 30
	now := time.Now()
	f.mu.Lock()
	f.reportSequence++
	r := &peer.Report{
		Daemon: f.opts.Self.Daemon, Incarnation: f.incarnation, Sequence: f.reportSequence, State: f.selfState, Revision: f.state.Revision(),
		StoreAgeMs: unknownAge,
	}
	if f.members.ForwardsChanges(now, watcherMaxAge) {
		r.Entries, r.EntriesSince = f.recentEntries(now)
	}
	if !f.lastStoreReply.IsZero() && !f.storeFailing {
		r.StoreAgeMs = uint32(min(now.Sub(f.lastStoreReply).Milliseconds(), unknownAge))
	}
	f.mu.Unlock()
	if withIdentity {
		r.Identity = f.opts.Self
	}
	f.opts.Reporter.FillReport(r, full)
	return r
}

// announceState tells all known daemons, also silent ones, of the daemon's state at once.
func (f *Fleet) announceState() { f.sendReports(true, true) }

// sendReports sends the load to the daemons that need it and, when everybody is set, the rest of the report
// to the others. It returns the number of other daemons.
func (f *Fleet) sendReports(toAll, withIdentity bool) int {
	f.mu.Lock()
	all := f.members.Identities()
	informed := all
	if len(all) > maxSmallFleetPeers {
		informed = f.loadRecipients()
	}
	f.mu.Unlock()
	if len(informed) > 0 {
		f.send(&peer.Datagram{Message: &peer.Datagram_Report{Report: f.buildReport(true, withIdentity)}}, informed...)
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(id *peer.Identity) bool {
		return slices.ContainsFunc(informed, func(other *peer.Identity) bool { return other.Daemon == id.Daemon })
	})
	if toAll && len(rest) > 0 {
		f.send(&peer.Datagram{Message: &peer.Datagram_Report{Report: f.buildReport(false, withIdentity)}}, rest...)
	}
	return len(all)
}

// loadRecipients returns the scheduler and those that would take its place, without this daemon. mu is held.
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

// Send sends a message of the scheduling protocol. It may be lost.
func (f *Fleet) Send(d *peer.Datagram, to *peer.Identity) { f.send(d, to) }

// SendTo answers a message of the scheduling protocol at the address that it came from.
func (f *Fleet) SendTo(d *peer.Datagram, address netip.AddrPort) {
	raw, err := proto.Marshal(d)
	if err != nil {
		f.opts.Log.Error("a message was not encoded", "error", err)
		return
	}
	f.writeDatagram(raw, address)
}

func (f *Fleet) send(d *peer.Datagram, to ...*peer.Identity) {
	raw, err := proto.Marshal(d)
	if err != nil {
		f.opts.Log.Error("a message was not encoded", "error", err)
		return
	}
	for _, id := range to {
		address, err := netip.ParseAddrPort(id.ReportAddress)
		if err != nil {
			f.opts.Log.Warn("a daemon's address was ignored", "daemon", id.Daemon, "error", err)
			continue
		}
		f.writeDatagram(raw, address)
	}
}

// writeDatagram sends a datagram. A lost one is made up for by the next.
func (f *Fleet) writeDatagram(raw []byte, address netip.AddrPort) {
	if _, err := f.socket.WriteToUDPAddrPort(raw, address); err != nil {
		f.incCounter("chivewind_report_send_failures_total")
	}
}

// dropSilentDaemons forgets the load of daemons that are no longer heard.
func (f *Fleet) dropSilentDaemons() {
	const forgetAfter = 30 * time.Second
	now := time.Now()
	var gone []string
	f.mu.Lock()
	for id, member := range f.members.members {
		silent := !member.LastReport.IsZero() && !f.members.alive(now, member)
		if silent && !f.silentDaemons[id] {
			gone = append(gone, id)
		}
		f.silentDaemons[id] = silent
	}
	f.members.RemoveSilent(now, forgetAfter, func(daemon string) bool { return f.registeredDaemons[daemon] })
	f.mu.Unlock()
	for _, id := range gone {
		f.opts.Log.Info("daemon silent", "daemon", id)
		f.opts.Reporter.ForgetDaemon(id)
	}
}

// receiveLoop handles the other daemons' reports until the socket is closed.
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

func (f *Fleet) handleReport(r *peer.Report) {
	now := time.Now()
	if len(r.Entries) > 0 {
		f.updateState(func(now time.Time, s *State) bool {
			changed := applyDocuments(now, s, r.Entries)
			if r.EntriesSince > 0 && s.Revision() >= r.EntriesSince {
				s.Advance(r.Revision)
			}
			return changed
		})
	}
	f.mu.Lock()
	member := f.members.HandleReport(now, r)
	var from *peer.Identity
	if member != nil {
		from = member.Identity
		if r.Revision > f.state.Revision() {
			f.schedulePull(now, from)
		}
	}
	f.mu.Unlock()
	if from != nil {
		f.opts.Reporter.HandleReport(r)
	}
}
