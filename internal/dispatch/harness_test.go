package dispatch_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/retry"
	enginestandin "github.com/chivewind/chivewind/internal/standin/engine"
	plainstandin "github.com/chivewind/chivewind/internal/standin/plain"
	"github.com/chivewind/chivewind/modules/endpoint/engine"
	"github.com/chivewind/chivewind/modules/endpoint/plain"
	"github.com/chivewind/chivewind/modules/front"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/settings"
	"github.com/rcrowley/go-metrics"
)

// fakeScheduler immediately grants the first endpoint of the pool that the request does not avoid. It prefers
// endpoints outside the zone to avoid.
type fakeScheduler struct {
	snapshot func() *config.Snapshot

	mu       sync.Mutex
	acquires []*peer.Acquire
	finished []peer.Outcome
	// preempt revokes the next slot when its attempt reports progress.
	preempt bool
	// shed, if set, is the error of each Acquire.
	shed *dispatch.ShedError
}

var _ dispatch.Scheduler = (*fakeScheduler)(nil)

// Acquire implements dispatch.Scheduler.
func (s *fakeScheduler) Acquire(ctx context.Context, pool string, a *peer.Acquire) (dispatch.Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acquires = append(s.acquires, a)
	if s.shed != nil {
		return nil, s.shed
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	snap := s.snapshot()
	var fallback string
	for _, shard := range snap.PoolShards[pool] {
		for _, id := range shard.Endpoints {
			switch {
			case slices.Contains(a.Avoid, id):
			case a.AvoidZone != "" && snap.Endpoints[id].Zone == a.AvoidZone:
				fallback = id
			default:
				return s.slot(id), nil
			}
		}
	}
	if fallback != "" {
		return s.slot(fallback), nil
	}
	return nil, &dispatch.ShedError{Reason: "no endpoint", RetryAfter: time.Second}
}

func (s *fakeScheduler) slot(endpoint string) *fakeSlot {
	f := &fakeSlot{scheduler: s, endpoint: endpoint, preempt: s.preempt, preempted: make(chan struct{})}
	s.preempt = false
	return f
}

func (s *fakeScheduler) outcomes() []peer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.finished)
}

type fakeSlot struct {
	scheduler *fakeScheduler
	endpoint  string
	preempt   bool
	preempted chan struct{}
}

func (f *fakeSlot) Endpoint() string           { return f.endpoint }
func (f *fakeSlot) StartBy() time.Time         { return time.Now().Add(time.Second) }
func (f *fakeSlot) Preempted() <-chan struct{} { return f.preempted }
func (f *fakeSlot) Progress(int, time.Duration) {
	if f.preempt {
		f.preempt = false
		close(f.preempted)
	}
}
func (f *fakeSlot) Finish(o peer.Outcome, _ int, _, _ time.Duration) {
	f.scheduler.mu.Lock()
	defer f.scheduler.mu.Unlock()
	f.scheduler.finished = append(f.scheduler.finished, o)
}

// fakeLedger stores records in memory.
type fakeLedger struct {
	mu      sync.Mutex
	records map[string]*peer.LedgerRecord
	// actionErrors holds the error that each failing action returns.
	actionErrors map[peer.LedgerRequest_Action]error
	// afterBegin is called after an intent has been recorded.
	afterBegin func()
}

var _ dispatch.Ledger = (*fakeLedger)(nil)

// Do implements dispatch.Ledger.
func (l *fakeLedger) Do(_ context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.actionErrors[req.Action]; err != nil {
		return nil, err
	}
	key := string(req.Key)
	old, exists := l.records[key]
	reply := func(r peer.LedgerReply_Result) (*peer.LedgerReply, error) {
		return &peer.LedgerReply{Result: r, Record: old}, nil
	}
	switch {
	case exists && !bytes.Equal(old.BodyDigest, req.BodyDigest):
		return reply(peer.LedgerReply_RESULT_BODY_MISMATCH)
	case req.Action == peer.LedgerRequest_ACTION_LOOKUP && !exists:
		return reply(peer.LedgerReply_RESULT_ABSENT)
	case req.Action == peer.LedgerRequest_ACTION_LOOKUP:
		return reply(peer.LedgerReply_RESULT_EXISTS)
	case req.Action == peer.LedgerRequest_ACTION_BEGIN && exists && old.RequestId != req.RequestId:
		return reply(peer.LedgerReply_RESULT_EXISTS)
	case req.Action == peer.LedgerRequest_ACTION_BEGIN:
		l.records[key] = req.Record
		if l.afterBegin != nil {
			l.afterBegin()
		}
		return reply(peer.LedgerReply_RESULT_BEGUN)
	case req.Action == peer.LedgerRequest_ACTION_FINISH:
		l.records[key] = req.Record
	case req.Action == peer.LedgerRequest_ACTION_ABORT:
		delete(l.records, key)
	}
	return reply(peer.LedgerReply_RESULT_DONE)
}

// fakeAnnouncer records the announced suspects.
type fakeAnnouncer struct {
	mu       sync.Mutex
	suspects []*peer.Suspect
}

var _ dispatch.Announcer = (*fakeAnnouncer)(nil)

// Announce implements dispatch.Announcer.
func (a *fakeAnnouncer) Announce(_ context.Context, req *peer.AnnounceRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspects = append(a.suspects, req.Suspects...)
	return nil
}

func (a *fakeAnnouncer) list() []*peer.Suspect {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.suspects)
}

// harness runs a front end and its dispatcher with three fake engines and two fake plain services.
type harness struct {
	url       string
	front     *front.Front
	dispatch  *dispatch.Dispatcher
	scheduler *fakeScheduler
	ledger    *fakeLedger
	announcer *fakeAnnouncer
	engines   []*enginestandin.Engine
	services  []*plainstandin.Service
	metrics   metrics.Registry
}

// harnessOptions configures a harness.
type harnessOptions struct {
	engine     enginestandin.Options
	class      config.Class
	interToken time.Duration
	// keepAlive is the interval of comments in a waiting stream.
	keepAlive time.Duration
	retry     retry.Options
	// writeStall is the time after which a request ends if its caller accepts no bytes.
	writeStall time.Duration
	// noResume removes the resume capability from the engines.
	noResume bool
}

func newHarness(t testing.TB, opts harnessOptions) *harness {
	t.Helper()
	h := &harness{ledger: &fakeLedger{records: map[string]*peer.LedgerRecord{}, actionErrors: map[peer.LedgerRequest_Action]error{}}, announcer: &fakeAnnouncer{}, metrics: metrics.NewRegistry()}
	c := &config.Config{
		Preset:     "day",
		Presets:    []config.Preset{{Name: "day", Classes: []config.Class{{Name: "quick", Tier: 1, FirstToken: config.Duration(time.Second)}}}},
		Pools:      []config.Pool{{Name: "judging", Kind: config.KindEngine, Model: "standin"}, {Name: "bookings", Kind: config.KindPlain}},
		Routes:     []config.Route{{Path: "/services/bookings/", Pool: "bookings", NonIdempotent: []string{"POST"}}},
		Workspaces: []config.Workspace{{Name: "registry", DefaultClass: "quick"}},
	}
	if opts.class.Name != "" {
		c.Presets[0].Classes = []config.Class{opts.class}
	}
	zones := []string{"asahikawa", "asahikawa", "sapporo"}
	capabilities := []config.Capability{config.CapPriority, config.CapLoad, config.CapResume}
	if opts.noResume {
		capabilities = capabilities[:2]
	}
	for i, zone := range zones {
		e, err := enginestandin.Start(opts.engine)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		h.engines = append(h.engines, e)
		c.Endpoints = append(c.Endpoints, config.Endpoint{
			ID: "engine-" + string(rune('a'+i)), Pool: "judging", URL: e.URL(), Zone: zone,
			Capabilities: capabilities,
		})
	}
	for i := range 2 {
		svc, err := plainstandin.Start(plainstandin.Options{Name: "bookings"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(svc.Close)
		h.services = append(h.services, svc)
		c.Endpoints = append(c.Endpoints, config.Endpoint{ID: "service-" + string(rune('a'+i)), Pool: "bookings", URL: svc.URL(), Zone: zones[i]})
	}
	snapshot, err := config.NewSnapshot(1, c)
	if err != nil {
		t.Fatal(err)
	}
	get := func() *config.Snapshot { return snapshot }
	h.scheduler = &fakeScheduler{snapshot: get}
	h.dispatch = dispatch.New(dispatch.Options{
		Scheduler: h.scheduler, Ledger: h.ledger, Announcer: h.announcer, Snapshot: get,
		EndpointKinds: map[config.PoolKind]endpoint.Kind{config.KindEngine: engine.New(), config.KindPlain: plain.New()},
		MemberID:      "daemon-1", Zone: "asahikawa", InterTokenTimeout: opts.interToken,
		Retry: opts.retry, Metrics: h.metrics,
	})
	h.front = front.New(front.Options{Dispatcher: h.dispatch, Snapshot: get, Zone: "asahikawa", KeepAlive: opts.keepAlive,
		Limits: settings.Limits{WriteStallTimeout: config.Duration(opts.writeStall)}})
	server := httptest.NewUnstartedServer(nil)
	server.Config = h.front.Server()
	server.Start()
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

// post sends a POST request and returns the response, including its trailers, and the whole body.
func (h *harness) post(t testing.TB, target, key, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, h.url+target, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return do(t, req)
}

func do(t testing.TB, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp, b.String()
}
