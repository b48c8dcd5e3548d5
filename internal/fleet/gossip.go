package fleet

import (
	"context"
	"errors"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

const (
	// minReportInterval is the shortest time between two reports of a small fleet.
	minReportInterval = 80 * time.Millisecond
	// reportBudget is the number of datagrams a second that a daemon sends at most when its load changes.
	reportBudget = 100
	// identityEvery is the number of reports of which one carries the sender's addresses.
	identityEvery = 8
	// maxDatagram bounds a report, in bytes.
	maxDatagram = 8 << 10
	// pullDelay is how long a newer revision of a peer may be on its way from the store before it is asked for.
	pullDelay = 150 * time.Millisecond
	// pullTimeout bounds a call to a peer.
	pullTimeout = 700 * time.Millisecond
)

// report sends a report when the load has changed, and as a heartbeat.
func (f *Fleet) report(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-f.dirty:
		case <-timer.C:
		}
		size := f.sendAll(f.nextReport(n%identityEvery == 0))
		f.dropSilent()
		sleep(ctx, max(minReportInterval, time.Duration(size)*time.Second/reportBudget))
		timer.Reset(heartbeatInterval(size + 1))
	}
}

// nextReport returns the daemon's present state.
func (f *Fleet) nextReport(withIdentity bool) *peer.Report {
	f.mu.Lock()
	f.sequence++
	r := &peer.Report{
		Daemon: f.o.Self.Daemon, Incarnation: f.incarnation, Sequence: f.sequence, State: f.self, Revision: f.state.Revision(),
	}
	f.mu.Unlock()
	if withIdentity {
		r.Identity = f.o.Self
	}
	f.o.Reporter.FillReport(r)
	return r
}

// sendAll sends a report to all known daemons, also to silent ones, and returns their number.
func (f *Fleet) sendAll(r *peer.Report) int {
	raw, err := proto.Marshal(r)
	if err != nil {
		f.o.Log.Error("a report was not encoded", "error", err)
		return 0
	}
	f.mu.Lock()
	all := f.members.All()
	f.mu.Unlock()
	for _, id := range all {
		address, err := net.ResolveUDPAddr("udp4", id.ReportAddress)
		if err != nil {
			f.o.Log.Warn("a daemon's address was ignored", "daemon", id.Daemon, "error", err)
			continue
		}
		// A lost datagram is made up for by the next one.
		if _, err := f.socket.WriteTo(raw, address); err != nil {
			f.count("chivewind_report_send_failures_total")
		}
	}
	return len(all)
}

// dropSilent forgets the load of daemons that are no longer heard.
func (f *Fleet) dropSilent() {
	const forgetAfter = 30 * time.Second
	now := time.Now()
	var gone []string
	f.mu.Lock()
	for id, member := range f.members.members {
		silent := !member.Heard.IsZero() && !f.members.alive(now, member)
		if silent && !f.silent[id] {
			gone = append(gone, id)
		}
		f.silent[id] = silent
	}
	f.members.Forget(now, forgetAfter, func(daemon string) bool {
		r := f.state.records[f.o.Codec.DaemonPrefix+daemon]
		return r != nil && r.value != nil
	})
	f.mu.Unlock()
	for _, id := range gone {
		f.o.Log.Info("daemon silent", "daemon", id)
		f.o.Reporter.ForgetDaemon(id)
	}
}

// receive handles the other daemons' reports until the socket is closed.
func (f *Fleet) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := f.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.count("chivewind_report_receive_failures_total")
			continue
		}
		r := &peer.Report{}
		if err := proto.Unmarshal(buffer[:n], r); err != nil {
			f.count("chivewind_report_rejected_total")
			continue
		}
		f.handleReport(r)
	}
}

func (f *Fleet) handleReport(r *peer.Report) {
	now := time.Now()
	f.mu.Lock()
	member := f.members.Receive(now, r)
	var from *peer.Identity
	if member != nil {
		from = member.Identity
		if r.Revision > f.state.Revision() {
			f.considerPull(now, from)
		}
	}
	f.mu.Unlock()
	if from != nil {
		f.o.Reporter.HandleReport(r)
	}
}

// considerPull asks a peer for its state unless the store brings it first. mu is held.
func (f *Fleet) considerPull(now time.Time, from *peer.Identity) {
	if f.pulling || now.Before(f.pullAt) {
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
		f.pulling, f.pullAt = false, time.Now().Add(pullDelay)
		f.mu.Unlock()
	})
}

// pull takes the keys that are newer at a peer.
func (f *Fleet) pull(ctx context.Context, from *peer.Identity) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client, err := f.o.Peers.Client(ctx, &peer.Member{Id: from.Daemon, PeerAddress: from.ControlAddress})
	if err != nil {
		f.o.Log.Debug("a peer cannot be called", "peer", from.ControlAddress, "error", err)
		return
	}
	f.mu.Lock()
	since := f.state.Revision()
	f.mu.Unlock()
	reply, err := client.Sync(ctx, &peer.SyncRequest{
		From: f.o.Self.Daemon, Versions: []*peer.DocumentVersion{{Name: documentState, Version: uint64(since)}},
	})
	if err != nil {
		f.count("chivewind_peer_pull_failures_total")
		f.o.Log.Debug("a peer gave no state", "peer", from.ControlAddress, "error", err)
		return
	}
	f.count("chivewind_peer_pulls_total")
	f.change(func(now time.Time, s *State) bool {
		changed := false
		for _, d := range reply.Documents {
			value := d.Content
			if len(value) == 0 {
				value = nil
			}
			changed = s.Apply(now, d.Name, int64(d.Version), value) || changed
		}
		return changed
	})
}

// documentState names the version of the whole state in a Sync call.
const documentState = "state"

// Sync answers a peer with the keys that it does not have. An empty content is a removed key.
func (f *Fleet) Sync(_ context.Context, r *peer.SyncRequest) (*peer.SyncReply, error) {
	var since int64
	for _, v := range r.Versions {
		if v.Name == documentState {
			since = int64(v.Version)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &peer.SyncReply{Versions: []*peer.DocumentVersion{{Name: documentState, Version: uint64(f.state.Revision())}}}
	for _, e := range f.state.Since(since) {
		reply.Documents = append(reply.Documents, &peer.Document{Name: e.Key, Version: uint64(e.Revision), Content: e.Value})
	}
	return reply, nil
}
