package ledger

import (
	"context"
	"time"

	"github.com/chivewind/chivewind/platform"
)

const (
	// sweepInterval is the time between pages of the retention sweep of one partition.
	sweepInterval = 5 * time.Second
	// sweepPause is the time between the end of a sweep and the start of the next one.
	sweepPause = time.Minute
	// sweepPageSize is the number of records that one page reads.
	sweepPageSize = maxGroup
)

// sweepPage removes the expired records of one page. It runs in the partition's goroutine, so that
// no record changes between the read and the transaction. It returns false when the partition is
// lost.
func (p *partition) sweepPage(ctx context.Context) bool {
	if !p.valid() {
		return !p.holder.Lost()
	}
	reply, err := p.ledger.KV.Range(ctx, platform.RangeRequest{
		Key: partitionPrefix(p.id), Prefix: true, After: p.sweepAfter, Limit: sweepPageSize,
	})
	if err != nil {
		return true
	}
	now := time.Now()
	var gone []string
	for _, kv := range reply.KVs {
		record, err := decodeRecord(kv)
		if err != nil {
			p.ledger.Log.Error("ledger record is malformed", "key", kv.Key, "error", err)
			continue
		}
		if expired(record, p.ledger.Retention, now) {
			gone = append(gone, kv.Key)
		}
	}
	p.sweepAfter = ""
	if reply.More {
		p.sweepAfter = reply.KVs[len(reply.KVs)-1].Key
	}
	return len(gone) == 0 || p.remove(ctx, gone)
}

// untilSweep returns the time until the next page.
func (p *partition) untilSweep() time.Duration {
	if p.sweepAfter == "" {
		return sweepPause
	}
	return sweepInterval
}

// remove deletes records. Those that remain after a failure are found by the next round. It returns
// false when the partition is lost.
func (p *partition) remove(ctx context.Context, keys []string) bool {
	if p.limiter.Wait(ctx) != nil || !p.valid() {
		return !p.holder.Lost()
	}
	if !p.write(ctx, &group{changed: keys}) {
		return false
	}
	p.ledger.counters.swept.Inc(int64(len(keys)))
	return true
}
