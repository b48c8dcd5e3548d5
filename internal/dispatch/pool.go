package dispatch

import (
	"slices"

	"github.com/chivewind/chivewind/config"
)

// poolExhausted reports whether every endpoint of the pool is to be avoided or cannot resume the response. It
// returns false if no endpoint is avoided yet.
func (r *run) poolExhausted() bool {
	if len(r.avoid) == 0 {
		return false
	}
	tokens, _ := r.relay.received()
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

// poolCanResume reports whether the pool has an endpoint that can resume a response and is not avoided.
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

// zoneToAvoid returns the failed endpoint's availability zone if the pool has endpoints in other zones that are
// not avoided, and "" otherwise.
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
