package dispatch

import (
	"slices"

	"github.com/chivewind/chivewind/config"
)

// poolExhausted says that no endpoint of the pool is left: each has failed, or cannot continue the answer.
func (r *run) poolExhausted() bool {
	if len(r.avoid) == 0 {
		return false
	}
	tokens, _ := r.relay.delivered()
	s := r.dispatcher.opts.Snapshot()
	for _, shard := range s.PoolShards[r.req.Pool.Name] {
		for _, id := range shard.Endpoints {
			if !slices.Contains(r.avoid, id) && (tokens == 0 || r.relay.assembling || s.Endpoints[id].Has(config.CapResume)) {
				return false
			}
		}
	}
	return true
}

// poolCanResume says whether an endpoint of the pool can continue an answer.
func (r *run) poolCanResume() bool {
	s := r.dispatcher.opts.Snapshot()
	for _, shard := range s.PoolShards[r.req.Pool.Name] {
		for _, id := range shard.Endpoints {
			if !slices.Contains(r.avoid, id) && s.Endpoints[id].Has(config.CapResume) {
				return true
			}
		}
	}
	return false
}

// zoneToAvoid returns the failed endpoint's availability zone when the pool has endpoints elsewhere.
func (r *run) zoneToAvoid(zone string) string {
	s := r.dispatcher.opts.Snapshot()
	for _, shard := range s.PoolShards[r.req.Pool.Name] {
		for _, id := range shard.Endpoints {
			if s.Endpoints[id].Zone != zone && !slices.Contains(r.avoid, id) {
				return zone
			}
		}
	}
	return ""
}
