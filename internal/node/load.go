package node

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/policy"
)

// loadPoller reads the load reports of endpoints. It keeps the sequence number of the last cache event of
// each endpoint, so that the next report has only later events.
type loadPoller struct {
	reporter endpoint.LoadReporter

	// mu guards lastSequence; it is not held during calls to an endpoint.
	mu sync.Mutex
	// lastSequence is the cache sequence of the last report by endpoint id.
	lastSequence map[string]uint64
}

// newLoadPoller returns a poller for engine endpoints; plain services do not report their load.
func newLoadPoller(kinds map[config.PoolKind]endpoint.Kind) *loadPoller {
	p := &loadPoller{lastSequence: map[string]uint64{}}
	p.reporter, _ = kinds[config.KindEngine].(endpoint.LoadReporter)
	return p
}

// poll reads one load report and returns it with its age. The age compares this VM's clock with a timestamp
// of the endpoint's VM. When the endpoint's clock is ahead, the age is 0 instead of negative.
func (p *loadPoller) poll(ctx context.Context, e config.Endpoint) (policy.LoadReport, time.Duration, error) {
	if p.reporter == nil || !e.Has(config.CapLoad) {
		return policy.LoadReport{}, 0, oops.With("step", "read the load report").With("peer", e.ID).Errorf("the endpoint has no load reports")
	}
	p.mu.Lock()
	after := p.lastSequence[e.ID]
	p.mu.Unlock()
	load, err := p.reporter.Load(ctx, e, after)
	if err != nil {
		return policy.LoadReport{}, 0, oops.With("step", "read the load report").With("peer", e.ID).Wrap(err)
	}
	p.mu.Lock()
	p.lastSequence[e.ID] = load.CacheSequence
	p.mu.Unlock()
	age := max(0, time.Since(load.At))
	return policy.LoadReport{
		Endpoint: e.ID, Running: load.Running, Waiting: load.Waiting, BetweenTokens: load.BetweenTokens,
		CacheSequence: load.CacheSequence, CacheAdded: load.CacheAdded, CacheRemoved: load.CacheRemoved,
	}, age, nil
}
