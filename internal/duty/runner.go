package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/chivewind/chivewind/internal/lease"
	"github.com/chivewind/chivewind/platform"
)

const (
	// role is the name of the role of all duties in the store.
	role = "duties"
	// checkInterval is the time between two checks whether the role is still held and wanted.
	checkInterval = 100 * time.Millisecond
	// ineligibleGrace is how long the role is kept after Options.Eligible has become false. The order of daemons may
	// change for a moment when reports are lost.
	ineligibleGrace = time.Second
	// defaultProbeInterval is the time between two attempts to acquire the role if Options.ProbeInterval is not set.
	defaultProbeInterval = time.Second
	// releaseTimeout bounds the calls to the store that release the role.
	releaseTimeout = time.Second
)

// errNewEra means that the role was not acquired because the store has just come back from an older copy.
var errNewEra = errors.New("duty: the store has come back from an older copy")

// Options configures a Runner.
type Options struct {
	KV platform.KV
	// Daemon is the name of this daemon.
	Daemon string
	// Lease is the time after which another daemon may acquire the role of a holder that is no longer heard of.
	Lease time.Duration
	// Eligible reports whether this daemon is a candidate for the role.
	Eligible func() bool
	// ProbeInterval returns the time between two attempts to acquire the role; nil means defaultProbeInterval. Each one
	// reads one key while another daemon holds the role. The first attempt is made this time after the start.
	ProbeInterval func() time.Duration
	// StoreEra returns the newest era of the store that this daemon knows, see platform.RevisionInEra; nil means 0.
	StoreEra func() int64
	Tasks    []Task
	Log      hclog.Logger
	Metrics  metrics.Registry
}

// Runner acquires and holds the role while this daemon is eligible, and runs the tasks while it is held.
type Runner struct {
	o       Options
	session *lease.Session
	limiter *rate.Limiter

	// quietUntil is the time before which the role is not acquired, and era the newest era of the store that is known. Only
	// Run uses them.
	quietUntil time.Time
	era        int64

	mu      sync.Mutex
	current *term
}

// NewRunner returns a Runner. It does nothing until Run is called.
func NewRunner(o Options) *Runner {
	if o.ProbeInterval == nil {
		o.ProbeInterval = func() time.Duration { return defaultProbeInterval }
	}
	if o.StoreEra == nil {
		o.StoreEra = func() int64 { return 0 }
	}
	return &Runner{o: o, session: lease.New(o.KV, o.Daemon, o.Lease, o.Log), limiter: rate.NewLimiter(callsPerSecond, 1)}
}

// Holds reports whether the role is certainly held now.
func (r *Runner) Holds() bool {
	r.mu.Lock()
	t := r.current
	r.mu.Unlock()
	return t != nil && t.valid()
}

// Run holds the role whenever possible until ctx is canceled. Before it returns, it releases the role. It must be called
// only once.
func (r *Runner) Run(ctx context.Context) {
	// The lease is renewed until the calls of the last term have ended.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var renewing sync.WaitGroup
	renewing.Go(func() { _ = r.session.Run(work) })
	defer renewing.Wait()
	defer cancel()
	r.gauge("chivewind_duty_holder", 0)
	// An earlier process of this daemon may have been the holder a moment ago. If another daemon has held the role since,
	// the two would alternate within a lease.
	r.startQuietPeriod()
	for probedAt := time.Now(); sleep(ctx, checkInterval); {
		r.noteEra(r.o.StoreEra())
		if now := time.Now(); !r.o.Eligible() || now.Before(r.quietUntil) || now.Sub(probedAt) < r.o.ProbeInterval() {
			continue
		}
		held, err := r.acquire(ctx)
		probedAt = time.Now()
		if err != nil {
			r.noteFailure(err)
			continue
		}
		r.hold(ctx, work, held)
		r.startQuietPeriod()
		probedAt = time.Now()
	}
	closing, done := context.WithTimeout(work, releaseTimeout)
	defer done()
	if err := r.session.Close(closing); err != nil {
		r.o.Log.Warn("the lease of duties was not revoked", "error", err)
	}
}

// startQuietPeriod delays the next acquisition until no other daemon can have acted and ended within the lease. The
// period is longer than the lease because the clocks of daemons may run at different rates.
func (r *Runner) startQuietPeriod() { r.quietUntil = time.Now().Add(r.o.Lease + r.o.Lease/5) }

// noteEra starts a quiet period if the store has reached a new era, and reports whether it has. The store may have lost the key
// of a holder that has not noticed it yet and acts until the end of its lease.
func (r *Runner) noteEra(era int64) bool {
	if era <= r.era {
		return false
	}
	r.era = era
	r.startQuietPeriod()
	return true
}

// acquire acquires the role. It reads the role's key first, which is cheaper than a lease that is not used.
func (r *Runner) acquire(ctx context.Context) (*lease.HeldRole, error) {
	reply, err := r.o.KV.Range(ctx, platform.RangeRequest{Key: lease.Key(role)})
	if err != nil {
		return nil, err
	}
	if r.noteEra(platform.EraOf(reply.Revision)) {
		return nil, errNewEra
	}
	if len(reply.KVs) > 0 {
		return nil, lease.ErrHeld
	}
	held, err := r.session.Acquire(ctx, role)
	if err == nil && r.noteEra(platform.EraOf(held.Token())) {
		return nil, errors.Join(errNewEra, held.Release(ctx))
	}
	return held, err
}

func (r *Runner) noteFailure(err error) {
	if errors.Is(err, lease.ErrHeld) {
		return
	}
	r.count("chivewind_duty_acquire_failures_total")
	r.o.Log.Debug("the role of duties was not acquired", "error", err)
}

// hold runs the tasks until the role is lost, the daemon is no longer eligible or ctx is canceled. It returns when all
// calls have ended and, unless the role is lost, the role is released. work outlasts ctx.
func (r *Runner) hold(ctx, work context.Context, held *lease.HeldRole) {
	t := newTerm(r, held)
	r.mu.Lock()
	r.current = t
	r.mu.Unlock()
	r.o.Log.Info("duties acquired", "daemon", r.o.Daemon, "token", held.Token())
	r.count("chivewind_duty_terms_total")
	r.gauge("chivewind_duty_token", held.Token())
	steps, cancel := context.WithCancel(work)
	defer cancel()
	var running sync.WaitGroup
	for _, task := range r.o.Tasks {
		running.Go(func() { t.run(steps, task) })
	}
	reason := r.watch(ctx, t)
	r.gauge("chivewind_duty_holder", 0)
	if held.Lost() {
		t.cancelCalls()
	}
	t.close()
	cancel()
	running.Wait()
	r.mu.Lock()
	r.current = nil
	r.mu.Unlock()
	if !held.Lost() {
		t.settle()
		releasing, done := context.WithTimeout(work, releaseTimeout)
		defer done()
		if err := held.Release(releasing); err != nil {
			r.o.Log.Warn("the release of duties was not confirmed", "error", err)
		}
	}
	r.o.Log.Info("duties ended", "daemon", r.o.Daemon, "token", held.Token(), "reason", reason)
}

// watch waits for the end of a term and returns its reason.
func (r *Runner) watch(ctx context.Context, t *term) string {
	eligibleAt := time.Now()
	for sleep(ctx, checkInterval) {
		now := time.Now()
		if r.o.Eligible() {
			eligibleAt = now
		}
		if t.role.Lost() {
			return "lost"
		}
		if now.Sub(eligibleAt) >= ineligibleGrace {
			return "no longer a candidate"
		}
		holds := int64(0)
		if t.valid() {
			holds = 1
		}
		r.gauge("chivewind_duty_holder", holds)
	}
	return "stopping"
}

func (r *Runner) count(name string) { metrics.GetOrRegisterCounter(name, r.o.Metrics).Inc(1) }

func (r *Runner) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, r.o.Metrics).Update(value)
}

// sleep waits for d. It returns false at once if ctx is canceled.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
