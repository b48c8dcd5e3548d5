package usage

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/duty"
	"github.com/chivewind/chivewind/platform"
)

const (
	// Key is the key of the store that holds the reports which are sent or about to be sent.
	Key = "duty/usage"
	// stepInterval is the time between two steps, and retryDelay the time after which a failed step is repeated.
	stepInterval = 200 * time.Millisecond
	retryDelay   = 500 * time.Millisecond
	// settleTime is the time after the start of a term in which no window counts as complete, because this daemon may
	// not have heard of all others yet.
	settleTime = 2 * time.Second
	// maxStored and maxStoredBytes bound the reports in the store that the control plane has not accepted. Further windows
	// wait in the ledgers of the candidates.
	maxStored      = 8
	maxStoredBytes = platform.MaxValueSize / 4
)

// errLostRace means that another daemon has written the key.
var errLostRace = errors.New("usage: the stored reports have been changed by another daemon")

// TaskOptions configures a Task.
type TaskOptions struct {
	Ledger *Ledger
	// Decisions is shared by the tasks of all terms of this daemon.
	Decisions *Decisions
	KV        platform.KV
	Control   platform.ControlPlane
	Log       hclog.Logger
	Metrics   metrics.Registry
}

// Task is the duty of reporting usage. It decides on the counts of each window exactly once: by writing them to the store
// on condition that the key has not changed since it was read.
type Task struct {
	o TaskOptions
	// state is the value of Key at revision, if loaded is set. accepted has the windows of state that the control plane
	// has accepted.
	state    stored
	revision int64
	loaded   bool
	accepted map[int64]bool
	// warnedWindow is the last window that was logged as not accepted.
	warnedWindow int64
	// termStart is the time of the first step of the term, and retryAt the time of the next step after a failed one.
	termStart time.Time
	retryAt   time.Time
}

// stored is the value of Key. All windows before Next have been decided. Windows are those that may not have been accepted
// yet, oldest first.
type stored struct {
	Next    int64          `json:"next"`
	Windows []storedWindow `json:"windows"`
}

type storedWindow struct {
	Window   int64          `json:"window"`
	Requests map[string]int `json:"requests"`
}

var _ duty.Task = (*Task)(nil)

// NewTask returns the task of reporting usage.
func NewTask(o TaskOptions) *Task { return &Task{o: o} }

// Duty implements duty.Task.
func (t *Task) Duty() platform.Duty { return platform.DutyUsage }

// Interval implements duty.Task.
func (t *Task) Interval() time.Duration { return stepInterval }

// Step implements duty.Task. It sends the reports in the store, then decides on the windows that are due and sends them.
func (t *Task) Step(ctx context.Context, now time.Time, h duty.Holder, first bool) error {
	if first {
		t.loaded, t.termStart, t.retryAt = false, now, time.Time{}
	}
	if now.Before(t.retryAt) {
		return nil
	}
	err := t.step(ctx, now, h)
	if err != nil {
		t.retryAt = now.Add(retryDelay)
	}
	return err
}

func (t *Task) step(ctx context.Context, now time.Time, h duty.Holder) error {
	if !t.loaded {
		if err := t.load(ctx); err != nil {
			return err
		}
	}
	if err := t.send(ctx, h); err != nil {
		t.updateAge(now)
		return err
	}
	decided, err := t.decide(now)
	if err == nil && len(decided) > 0 {
		if err = t.store(ctx, decided); err == nil {
			err = t.send(ctx, h)
		}
	}
	t.updateAge(now)
	return err
}

// load reads the stored reports. If the store has lost some, those that this daemon knows count.
func (t *Task) load(ctx context.Context) error {
	reply, err := t.o.KV.Range(ctx, platform.RangeRequest{Key: Key})
	if err != nil {
		return err
	}
	state, revision := stored{}, int64(0)
	if len(reply.KVs) > 0 {
		if err := decode(reply.KVs[0].Value, &state); err != nil {
			// Windows may have been decided that are not known any more. Only later ones are reported.
			t.o.Log.Error("the stored usage reports are malformed", "error", err)
			state = stored{Next: t.o.Ledger.WindowAt(time.Now())}
		}
		revision = reply.KVs[0].ModRevision
	}
	t.state, t.revision, t.loaded, t.accepted = t.o.Decisions.latest(state), revision, true, map[int64]bool{}
	if t.state.Next > state.Next {
		t.o.Log.Warn("the store has lost decisions on usage", "next", state.Next, "known", t.state.Next)
	}
	return nil
}

// send sends the stored reports that have not been accepted, oldest first. A report is sent exactly as it is stored.
func (t *Task) send(ctx context.Context, h duty.Holder) error {
	var refused error
	for _, w := range t.state.Windows {
		if t.accepted[w.Window] {
			continue
		}
		err := h.Call(ctx, func(ctx context.Context, holder platform.DutyHolder) error {
			return t.o.Control.ReportUsage(ctx, holder, platform.UsageReport{Window: w.Window, Requests: w.Requests})
		})
		switch {
		case errors.Is(err, duty.ErrNotHolder):
			return err
		case err != nil:
			t.count("chivewind_usage_report_failures_total")
			if t.warnedWindow != w.Window {
				t.warnedWindow = w.Window
				t.o.Log.Warn("usage was not accepted and is sent again", "window", w.Window, "error", err)
			}
			if !errors.Is(err, platform.ErrNotApplied) {
				return err
			}
			refused = err // the control plane may accept other windows
		default:
			t.reported(w)
		}
	}
	return refused
}

func (t *Task) reported(w storedWindow) {
	t.accepted[w.Window] = true
	total := 0
	for _, n := range w.Requests {
		total += n
	}
	after := time.Since(t.o.Ledger.EndOf(w.Window))
	t.count("chivewind_usage_windows_reported_total")
	if after > t.o.Ledger.limits.Due {
		t.count("chivewind_usage_windows_late_total")
	}
	t.gauge("chivewind_usage_last_window", w.Window)
	t.o.Log.Info("usage reported", "window", w.Window, "workspaces", len(w.Requests), "requests", total, "after_ms", after.Milliseconds())
}

// decide returns the reports of the windows that are due, oldest first.
func (t *Task) decide(now time.Time) ([]storedWindow, error) {
	next := max(t.state.Next, t.o.Ledger.First())
	if t.state.Next > 0 && next > t.state.Next {
		t.o.Log.Warn("usage of some windows is unknown and not reported", "first", t.state.Next, "count", next-t.state.Next)
		metrics.GetOrRegisterCounter("chivewind_usage_windows_unknown_total", t.o.Metrics).Inc(next - t.state.Next)
		t.state.Next = next
	}
	var decided []storedWindow
	for waiting := len(t.unaccepted()); waiting+len(decided) < maxStored && t.isDue(now, next); next++ {
		requests, err := t.o.Ledger.Requests(next)
		if err != nil {
			return nil, err
		}
		decided = append(decided, storedWindow{Window: next, Requests: requests})
	}
	return decided, nil
}

// isDue reports whether a window is to be reported now: when all daemons have reported after its end, or when half of the
// time until it must be reported has passed, which leaves time for another daemon if this one fails. If half of the
// daemons or more have not seen the end of the window, the clock of this daemon may be wrong, and it waits for them.
func (t *Task) isDue(now time.Time, k int64) bool {
	end := t.o.Ledger.EndOf(k)
	if now.Before(end) {
		return false
	}
	progress := t.o.Ledger.Progress(now, k)
	after := now.Sub(end)
	settled := now.Sub(t.termStart) >= settleTime
	switch {
	case progress == Complete && settled:
		return true
	case after >= t.o.Ledger.limits.Due/2:
		return progress != Running && (settled || after >= t.o.Ledger.limits.Due-settleTime/2)
	}
	return false
}

func (t *Task) unaccepted() []storedWindow {
	var windows []storedWindow
	for _, w := range t.state.Windows {
		if !t.accepted[w.Window] {
			windows = append(windows, w)
		}
	}
	return windows
}

// store writes the decided reports, and drops those that have been accepted. If the outcome is unknown or another daemon
// has written the key, the next step begins with reading it: what is stored then is sent.
func (t *Task) store(ctx context.Context, decided []storedWindow) error {
	windows := append(t.unaccepted(), decided...)
	state := stored{Next: windows[len(windows)-1].Window + 1, Windows: windows}
	value := encode(state)
	for len(value) > maxStoredBytes && len(state.Windows) > max(len(windows)-len(decided), 1) {
		last := len(state.Windows) - 1
		state = stored{Next: state.Windows[last].Window, Windows: state.Windows[:last]}
		value = encode(state)
	}
	if len(state.Windows) == len(windows)-len(decided) {
		return nil // no space until the control plane accepts reports
	}
	t.loaded = false
	revision, err := replace(ctx, t.o.KV, t.revision, value)
	if err != nil {
		return err
	}
	t.state, t.revision, t.loaded = t.o.Decisions.latest(state), revision, true
	t.o.Ledger.Forget(state.Next)
	return nil
}

// updateAge sets the gauge of the time since the end of the oldest window that has not been accepted.
func (t *Task) updateAge(now time.Time) {
	oldest := max(t.state.Next, t.o.Ledger.First())
	if waiting := t.unaccepted(); len(waiting) > 0 {
		oldest = waiting[0].Window
	}
	t.gauge("chivewind_usage_oldest_window_age_milliseconds", max(now.Sub(t.o.Ledger.EndOf(oldest)).Milliseconds(), 0))
}

func (t *Task) count(name string) { metrics.GetOrRegisterCounter(name, t.o.Metrics).Inc(1) }

func (t *Task) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, t.o.Metrics).Update(value)
}
