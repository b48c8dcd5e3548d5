package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/internal/retry"
	"github.com/chivewind/chivewind/internal/telemetry"
	"github.com/chivewind/chivewind/peer"
)

// DefaultInterToken ends an attempt whose endpoint sends nothing for this time.
const DefaultInterToken = 5 * time.Second

// Options are what a Dispatcher needs. Scheduler, Snapshot and Kinds are required.
type Options struct {
	Scheduler Scheduler
	// Ledger is required for non-idempotent requests; without it they are refused.
	Ledger Ledger
	// Announcer may be nil for a daemon without peers.
	Announcer Announcer
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Kinds has the endpoint module of each kind of pool.
	Kinds map[config.PoolKind]endpoint.Kind
	// Members may be nil; it tells intents of live daemons from those of dead ones.
	Members cluster.Members
	// MemberID and Incarnation name this daemon in ledger records.
	MemberID    string
	Incarnation uint64
	// Zone is this daemon's availability zone.
	Zone string
	// InterToken bounds the time between tokens. Default DefaultInterToken.
	InterToken time.Duration
	// Retry bounds retries.
	Retry   retry.Options
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Dispatcher runs requests. It is safe for concurrent use.
//
// Lock order: the locks of a request's relay, the suspects table, the announcements and the retry
// budget are never held together.
type Dispatcher struct {
	opts     Options
	suspects suspects
	// announcements are suspects on their way to the other daemons.
	announcements announcements
	running       atomic.Int64

	// unassemblableModels has the models whose answers cannot be assembled.
	unassemblableModels sync.Map

	budgetMu sync.Mutex
	budget   *retry.Budget

	counters  counters
	telemetry *telemetry.Recorder
}

// counters count events since the start.
type counters struct {
	requests, retries, resumes, preemptions, crashes, stopped, shed metrics.Counter
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	if o.InterToken == 0 {
		o.InterToken = DefaultInterToken
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	d := &Dispatcher{opts: o, budget: retry.NewBudget(o.Retry), telemetry: telemetry.New(o.Metrics)}
	d.suspects.table = poison.New(0)
	d.suspects.size = metrics.GetOrRegisterGauge("dispatch.suspects", o.Metrics)
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatch."+name, o.Metrics) }
	d.counters = counters{
		requests: counter("requests"), retries: counter("retries"), resumes: counter("resumes"),
		preemptions: counter("preemptions"), crashes: counter("crashes"), stopped: counter("stopped"),
		shed: counter("shed"),
	}
	return d
}

// Running returns the number of requests in progress.
func (d *Dispatcher) Running() int { return int(d.running.Load()) }

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("the request's deadline has passed")

// Do runs a request and delivers its answer. ctx ends when the caller is gone.
func (d *Dispatcher) Do(ctx context.Context, r *Request, out Response) Result {
	d.running.Add(1)
	defer d.running.Add(-1)
	d.counters.requests.Inc(1)
	run := &run{dispatcher: d, req: r, fingerprint: poison.Of(r.Workspace, r.target(), r.Body)}
	res := run.do(ctx, out)
	run.recordMetrics(res)
	return res
}

// do runs a request that is not stopped at once.
func (r *run) do(ctx context.Context, out Response) Result {
	r.relay = newRelay(r.req, out)
	crashes := r.dispatcher.suspects.crashes(r.fingerprint)
	if crashes >= poison.Limit {
		r.dispatcher.counters.stopped.Inc(1)
		return Result{Outcome: Failed, Err: repeatedCrashError()}
	}
	r.suspected = crashes > 0
	if !r.req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, r.req.Deadline, errDeadline)
		defer cancel()
	}
	r.dispatcher.budgetMu.Lock()
	r.dispatcher.budget.Request(time.Now(), r.req.Class.Name)
	r.dispatcher.budgetMu.Unlock()
	if r.req.NonIdempotent {
		r.relay.out = &detachedResponse{Response: out}
		return r.runAtMostOnce(ctx)
	}
	_, opaque := r.dispatcher.unassemblableModels.Load(r.req.Pool.Model)
	r.relay.assembling = r.req.Assemblable && !opaque
	return r.runIdempotent(ctx)
}

// takeRetry takes a retry of a class from the budget.
func (d *Dispatcher) takeRetry(class string) bool {
	d.budgetMu.Lock()
	defer d.budgetMu.Unlock()
	return d.budget.Take(time.Now(), class)
}

// HandleSuspects records what other daemons announced.
func (d *Dispatcher) HandleSuspects(list []*peer.Suspect) {
	for _, s := range list {
		d.suspects.apply(s)
	}
}

func repeatedCrashError() *Error {
	return &Error{
		Status: http.StatusUnprocessableEntity, Code: CodeRepeatedCrash,
		Message: "the request was stopped: endpoints crashed repeatedly while they ran it; do not repeat it unchanged",
	}
}
