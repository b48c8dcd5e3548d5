package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/chivewind/chivewind/config"
)

// pollTimeout limits the time for one poll of an endpoint.
const pollTimeout = time.Second

// pollLoop polls the load reports of the shard's endpoints until the shard is closed. Endpoints are polled
// concurrently, so that a slow one does not delay the others' reports; an endpoint whose last poll is
// still in flight is skipped.
func (sh *shard) pollLoop() {
	var polls sync.WaitGroup
	defer polls.Wait()
	var mu sync.Mutex
	inFlight := map[string]bool{}
	ticker := time.NewTicker(sh.scheduler.cfg.PollInterval)
	defer ticker.Stop()
	for {
		sh.mu.Lock()
		endpoints := sh.endpoints
		sh.mu.Unlock()
		for _, e := range endpoints {
			mu.Lock()
			skip := inFlight[e.ID]
			inFlight[e.ID] = true
			mu.Unlock()
			if skip {
				continue
			}
			polls.Go(func() {
				sh.poll(e)
				mu.Lock()
				delete(inFlight, e.ID)
				mu.Unlock()
			})
		}
		select {
		case <-sh.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (sh *shard) poll(e config.Endpoint) {
	ctx, cancel := context.WithTimeout(sh.ctx, pollTimeout)
	defer cancel()
	// The report is dated by the time of the request, because the response may be slow.
	requestedAt := sh.scheduler.now()
	report, age, err := sh.scheduler.cfg.Poll(ctx, e)
	if err != nil {
		return
	}
	report.Endpoint = e.ID
	report.MeasuredAt = requestedAt - age
	sh.recordLoadReport(report)
}
