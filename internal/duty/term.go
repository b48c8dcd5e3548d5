package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/lease"
	"github.com/chivewind/chivewind/internal/promtext"
	"github.com/chivewind/chivewind/platform"
)

const (
	// callsPerSecond limits the calls of a holder. The platform refuses calls above 50 a second of all daemons together,
	// and two holders may follow each other within a second.
	callsPerSecond = 20
	// minCallTime is the remaining validity of the lease below which no call is made: the call would probably be
	// canceled, and its outcome unknown.
	minCallTime = 200 * time.Millisecond
	// validityInterval is the time between two checks, during a call, that the lease is valid. The deadline of a context
	// alone does not end a call after a suspension of the VM in which the monotonic clock stopped.
	validityInterval = 20 * time.Millisecond
	// settleTime is the time for which a call whose connection has been reset may still arrive: the latency and the
	// queues of the network.
	settleTime = 300 * time.Millisecond
	// lastCallsTimeout is the time that calls in progress may still take when the role is released. It is above the
	// timeout of a call of the platform's adapter.
	lastCallsTimeout = 800 * time.Millisecond
)

// term is the time for which a Runner holds the role with one token. It implements Holder.
type term struct {
	runner *Runner
	role   *lease.HeldRole
	// ended is canceled when calls in progress must end.
	ended       context.Context
	cancelCalls context.CancelFunc

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup
	// unsettledAt is the end of the last call that may still arrive at the control plane.
	unsettledAt time.Time
}

func newTerm(r *Runner, held *lease.HeldRole) *term {
	t := &term{runner: r, role: held}
	t.ended, t.cancelCalls = context.WithCancel(context.Background())
	return t
}

// valid reports whether calls may be made now.
func (t *term) valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.closed && t.role.Valid(time.Now())
}

// run calls the steps of a task until ctx is canceled. While the lease cannot be renewed, no step is called.
func (t *term) run(ctx context.Context, task Task) {
	for first := true; ctx.Err() == nil; {
		if t.valid() {
			if err := task.Step(ctx, time.Now(), t, first); err != nil && ctx.Err() == nil {
				t.runner.count(promtext.Name("chivewind_duty_step_failures_total", "duty", string(task.Duty())))
				t.runner.o.Log.Debug("duty step failed", "duty", string(task.Duty()), "error", err)
			}
			first = false
		}
		sleep(ctx, task.Interval())
	}
}

// Call implements Holder.
func (t *term) Call(ctx context.Context, call func(context.Context, platform.DutyHolder) error) error {
	if err := t.runner.limiter.Wait(ctx); err != nil {
		return errors.Join(ErrNotHolder, err)
	}
	if !t.begin() {
		return ErrNotHolder
	}
	defer t.calls.Done()
	ctx, cancel := context.WithDeadline(ctx, t.role.ValidUntil())
	defer cancel()
	defer context.AfterFunc(t.ended, cancel)()
	go t.cancelWhenInvalid(ctx, cancel)
	// The term may have ended, or the process been suspended, since the check in begin.
	if ctx.Err() != nil || !t.role.Valid(time.Now()) {
		return ErrNotHolder
	}
	err := call(ctx, platform.DutyHolder{Daemon: t.runner.o.Daemon, Token: t.role.Token()})
	if !settled(err) {
		t.mu.Lock()
		t.unsettledAt = time.Now()
		t.mu.Unlock()
	}
	return err
}

// settled reports whether a call that ended with err cannot arrive at the control plane any more.
func settled(err error) bool {
	return err == nil || errors.Is(err, platform.ErrNotApplied) || errors.Is(err, platform.ErrRateLimited) || errors.Is(err, platform.ErrNoEndpoints)
}

// begin registers a call in t.calls. It returns false if no call may be made.
func (t *term) begin() bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !t.role.Valid(now.Add(minCallTime)) || !t.role.Valid(now) {
		return false
	}
	t.calls.Add(1)
	return true
}

// cancelWhenInvalid cancels a call as soon as its role is not valid.
func (t *term) cancelWhenInvalid(ctx context.Context, cancel context.CancelFunc) {
	for sleep(ctx, validityInterval) {
		if !t.role.Valid(time.Now()) {
			cancel()
			return
		}
	}
}

// close prevents further calls and waits for those in progress, which are canceled after lastCallsTimeout.
func (t *term) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	timer := time.AfterFunc(lastCallsTimeout, t.cancelCalls)
	defer timer.Stop()
	t.calls.Wait()
	t.cancelCalls()
}

// settle waits until no call of the term can arrive at the control plane any more.
func (t *term) settle() {
	t.mu.Lock()
	wait := time.Until(t.unsettledAt.Add(settleTime))
	t.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}
