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

// DefaultInterTokenTimeout is the default of Options.InterTokenTimeout.
const DefaultInterTokenTimeout = 5 * time.Second

// Options configures a Dispatcher. Scheduler, Snapshot and EndpointKinds are required.
type Options struct {
	Scheduler Scheduler
	// Ledger records non-idempotent requests. Without it they are refused.
	Ledger Ledger
	// Announcer may be nil when the daemon has no peers.
	Announcer Announcer
	// Snapshot returns the active configuration.
	Snapshot func() *config.Snapshot
	// EndpointKinds maps each kind of pool to the module that talks to its endpoints.
	EndpointKinds map[config.PoolKind]endpoint.Kind
	// Members lists the cluster's daemons. A duplicate of a non-idempotent request does not wait for the
	// first request if the daemon that received the first one is no longer running. Members may be nil; the
	// duplicate then waits until its time limit.
	Members cluster.Members
	// MemberID and Incarnation identify this daemon in ledger records.
	MemberID    string
	Incarnation uint64
	// Zone is this daemon's availability zone.
	Zone string
	// InterTokenTimeout limits the time between two tokens of an event stream from an engine, or between two reads
	// of any other response. An attempt that exceeds it is ended. Zero means DefaultInterTokenTimeout.
	InterTokenTimeout time.Duration
	// Retry configures the retry budget.
	Retry   retry.Options
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Dispatcher runs requests. It is safe for concurrent use.
//
// The locks of a relay, the suspects table, the announcements and the retry budget are never held
// together, so there is no lock order among them.
type Dispatcher struct {
	opts     Options
	suspects suspects
	// announcements batches suspects that are to be sent to the other daemons.
	announcements announcements
	running       atomic.Int64

	// unassemblableModels is the set of models (string) whose streams cannot be assembled into one response.
	unassemblableModels sync.Map

	budgetMu sync.Mutex
	budget   *retry.Budget

	counters  counters
	telemetry *telemetry.Recorder
}

// counters holds the event counters of a Dispatcher. stopped counts the requests that are rejected because
// they crashed endpoints repeatedly.
type counters struct {
	requests, retries, resumes, preemptions, crashes, stopped, shed metrics.Counter
}

// New returns a Dispatcher. A nil logger discards log entries; a nil registry is replaced by a new one.
func New(o Options) *Dispatcher {
	if o.InterTokenTimeout == 0 {
		o.InterTokenTimeout = DefaultInterTokenTimeout
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

// errDeadline is the cancellation cause of a context that reached the request's deadline.
var errDeadline = errors.New("the request's deadline has passed")

// Do runs a request and writes its response to out. ctx is canceled when the caller disconnects. When
// Result.Err is set, the response was not delivered completely.
func (d *Dispatcher) Do(ctx context.Context, r *Request, out ResponseWriter) Result {
	d.running.Add(1)
	defer d.running.Add(-1)
	d.counters.requests.Inc(1)
	run := &run{dispatcher: d, req: r, fingerprint: poison.FingerprintOf(r.Workspace, r.target(), r.Body)}
	res := run.do(ctx, out)
	run.recordMetrics(res)
	return res
}

// do runs the request unless poison.CrashLimit crashes of endpoints are attributed to it.
func (r *run) do(ctx context.Context, out ResponseWriter) Result {
	r.relay = newRelay(r.req, out)
	crashes := r.dispatcher.suspects.crashes(r.fingerprint)
	if crashes >= poison.CrashLimit {
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
	r.dispatcher.budget.CountRequest(time.Now(), r.req.Class.Name)
	r.dispatcher.budgetMu.Unlock()
	if r.req.NonIdempotent {
		r.relay.out = &detachedResponse{ResponseWriter: out}
		return r.runAtMostOnce(ctx)
	}
	_, unassemblable := r.dispatcher.unassemblableModels.Load(r.req.Pool.Model)
	r.relay.assembling = r.req.Assemblable && !unassemblable
	return r.runIdempotent(ctx)
}

// takeRetry reports whether the budget allows a retry for a request of the class. If so, it deducts the retry.
func (d *Dispatcher) takeRetry(class string) bool {
	d.budgetMu.Lock()
	defer d.budgetMu.Unlock()
	return d.budget.Take(time.Now(), class)
}

// HandleSuspects records the suspects that other daemons announced.
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
