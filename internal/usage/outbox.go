package usage

import (
	"time"

	"github.com/chivewind/chivewind/peer"
)

const (
	// totalEntry is the workspace under which a report states the number of all requests of a window, by which the
	// receiver finds out whether counts are missing.
	totalEntry = ""
	// maxUsageBytes bounds the counts in one report, which is a datagram of at most 64 KiB. Counts that do not fit follow
	// in the next reports.
	maxUsageBytes = 12 << 10
	// entryBytes is the encoded size of a count without the name of its workspace, at most.
	entryBytes = 12
	// minRepeats and maxRepeats are the number of counts that have not changed and are repeated in a report, in case an
	// earlier report was lost; repeatFraction is their share of all counts. At 390 daemons with 1.3 requests a second
	// each, usage takes about 220 bytes of a report, at 2.5 reports a second 0.2 MB/s at each recipient.
	minRepeats     = 8
	maxRepeats     = 256
	repeatFraction = 16
)

// countKey identifies a count.
type countKey struct {
	window    int64
	workspace string
}

// outbox selects which counts of this daemon the next report includes.
type outbox struct {
	// start is the window in which the process started.
	start int64
	// pending lists the counts that have changed since they were last included, in order, and isPending contains them.
	pending   []countKey
	isPending map[countKey]bool
	// all lists the counts of the windows that reports include, and next is the one to be repeated next.
	all  []countKey
	next int
	seen map[countKey]bool
}

func (o *outbox) changed(window int64, workspace string) {
	key := countKey{window, workspace}
	if o.isPending == nil {
		o.isPending, o.seen = map[countKey]bool{}, map[countKey]bool{}
	}
	if !o.isPending[key] {
		o.isPending[key] = true
		o.pending = append(o.pending, key)
	}
	if !o.seen[key] {
		o.seen[key] = true
		o.all = append(o.all, key)
	}
}

// expire drops counts of windows before k.
func (o *outbox) expire(k int64) {
	if len(o.all) == 0 || o.all[0].window >= k {
		return
	}
	kept := o.all[:0]
	for _, key := range o.all {
		if key.window >= k {
			kept = append(kept, key)
		} else {
			delete(o.seen, key)
		}
	}
	clear(o.all[len(kept):])
	o.all, o.next = kept, 0
}

// take returns the counts to be included in the next report.
func (o *outbox) take() []countKey {
	budget := maxUsageBytes
	var taken []countKey
	for len(o.pending) > 0 && budget > 0 {
		key := o.pending[0]
		o.pending = o.pending[1:]
		delete(o.isPending, key)
		taken = append(taken, key)
		budget -= len(key.workspace) + entryBytes
	}
	for repeats := min(max(minRepeats, len(o.all)/repeatFraction), maxRepeats, len(o.all)); repeats > 0 && budget > 0; repeats-- {
		key := o.all[o.next%len(o.all)]
		o.next = (o.next + 1) % len(o.all)
		taken = append(taken, key)
		budget -= len(key.workspace) + entryBytes
	}
	return taken
}

// FillReport adds the counts of this daemon to a report. It includes every window of the last Limits.reported in
// which the process was running, also those without requests.
func (l *Ledger) FillReport(now time.Time, r *peer.Report) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	current := l.WindowAt(now)
	l.own.current = current
	first := max(current-l.limits.reported()+1, min(l.out.start, current))
	l.out.expire(first)
	byWindow := map[int64]*peer.WindowUsage{}
	for k := first; k <= current; k++ {
		w := &peer.WindowUsage{Window: k}
		if c := l.own.windows[k]; c != nil {
			w.Workspaces = append(w.Workspaces, &peer.WorkspaceUsage{Workspace: totalEntry, Requests: c.total})
		}
		byWindow[k] = w
		r.Usage = append(r.Usage, w)
	}
	for _, key := range l.out.take() {
		w, c := byWindow[key.window], l.own.windows[key.window]
		if w != nil && c != nil {
			w.Workspaces = append(w.Workspaces, &peer.WorkspaceUsage{Workspace: key.workspace, Requests: c.workspaces[key.workspace]})
		}
	}
}
