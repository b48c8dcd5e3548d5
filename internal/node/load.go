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

// loadPoller reads load reports of endpoints and remembers up to which cache event each was read.
type loadPoller struct {
	reporter endpoint.LoadReporter

	// mu guards after; it is not held during calls.
	mu    sync.Mutex
	after map[string]uint64
}

func newLoadPoller(kinds map[config.PoolKind]endpoint.Kind) *loadPoller {
	p := &loadPoller{after: map[string]uint64{}}
	p.reporter, _ = kinds[config.KindEngine].(endpoint.LoadReporter)
	return p
}

// poll reads one report and its age. The age comes from the wall clocks of two VMs, so a report
// from the future counts as a new one.
func (p *loadPoller) poll(ctx context.Context, e config.Endpoint) (policy.LoadReport, time.Duration, error) {
	if p.reporter == nil || !e.Has(config.CapLoad) {
		return policy.LoadReport{}, 0, oops.With("step", "read the load report").With("peer", e.ID).Errorf("the endpoint has no load reports")
	}
	p.mu.Lock()
	after := p.after[e.ID]
	p.mu.Unlock()
	load, err := p.reporter.Load(ctx, e, after)
	if err != nil {
		return policy.LoadReport{}, 0, oops.With("step", "read the load report").With("peer", e.ID).Wrap(err)
	}
	p.mu.Lock()
	p.after[e.ID] = load.CacheSequence
	p.mu.Unlock()
	age := max(0, time.Since(load.At))
	return policy.LoadReport{
		Endpoint: e.ID, Running: load.Running, Waiting: load.Waiting, BetweenTokens: load.BetweenTokens,
		CacheSequence: load.CacheSequence, CacheAdded: load.CacheAdded, CacheRemoved: load.CacheRemoved,
	}, age, nil
}
