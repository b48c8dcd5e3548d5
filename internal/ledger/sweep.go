package ledger

import (
	"context"
	"time"

	"github.com/chivewind/chivewind/platform"
)

const (
	// sweepPageInterval is the time between two pages of a partition's retention sweep.
	sweepPageInterval = 5 * time.Second
	// sweepInterval is the time between the end of a sweep and the start of the next one.
	sweepInterval = time.Minute
	// sweepPageSize is the number of records that are read per page.
	sweepPageSize = maxGroupRecords
)

// sweepPage deletes the expired records of one page. It runs in the partition's goroutine, so that no
// record changes between the read and the transaction. It returns false if the partition is lost.
func (p *partition) sweepPage(ctx context.Context) bool {
	if !p.leaseValid() {
		return !p.role.Lost()
	}
	reply, err := p.ledger.KV.Range(ctx, platform.RangeRequest{
		Key: partitionPrefix(p.id), Prefix: true, After: p.sweepCursor, Limit: sweepPageSize,
	})
	if err != nil {
		return true
	}
	now := time.Now()
	var expiredKeys []string
	for _, kv := range reply.KVs {
		record, err := decodeRecord(kv)
		if err != nil {
			p.ledger.Log.Error("ledger record is malformed", "key", kv.Key, "error", err)
			continue
		}
		if expired(record, p.ledger.Retention, now) {
			expiredKeys = append(expiredKeys, kv.Key)
		}
	}
	p.sweepCursor = ""
	if reply.More {
		p.sweepCursor = reply.KVs[len(reply.KVs)-1].Key
	}
	return len(expiredKeys) == 0 || p.deleteRecords(ctx, expiredKeys)
}

// nextSweepDelay returns the time until the next page.
func (p *partition) nextSweepDelay() time.Duration {
	if p.sweepCursor == "" {
		return sweepInterval
	}
	return sweepPageInterval
}

// deleteRecords deletes records. Records that remain after a failure are found by the next sweep. It
// returns false if the partition is lost.
func (p *partition) deleteRecords(ctx context.Context, keys []string) bool {
	if p.limiter.Wait(ctx) != nil || !p.leaseValid() {
		return !p.role.Lost()
	}
	// The group has no records for its changed keys, so commit deletes them.
	if !p.commit(ctx, &group{changed: keys}) {
		return false
	}
	p.ledger.counters.swept.Inc(int64(len(keys)))
	return true
}
