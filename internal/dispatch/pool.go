package dispatch

import (
	"slices"

	"github.com/chivewind/chivewind/config"
)

// exhausted says that no endpoint of the pool is left: each has failed, or cannot continue the answer.
func (r *run) exhausted() bool {
	if len(r.avoid) == 0 {
		return false
	}
	tokens, _ := r.relay.delivered()
	s := r.d.o.Snapshot()
	for _, shard := range s.PoolShards[r.r.Pool.Name] {
		for _, id := range shard.Endpoints {
			if !slices.Contains(r.avoid, id) && (tokens == 0 || r.relay.assembling || s.Endpoints[id].Has(config.CapResume)) {
				return false
			}
		}
	}
	return true
}

// poolResumes says whether an endpoint of the pool can continue an answer.
func (r *run) poolResumes() bool {
	s := r.d.o.Snapshot()
	for _, shard := range s.PoolShards[r.r.Pool.Name] {
		for _, id := range shard.Endpoints {
			if !slices.Contains(r.avoid, id) && s.Endpoints[id].Has(config.CapResume) {
				return true
			}
		}
	}
	return false
}

// otherZone returns the failed endpoint's availability zone when the pool has endpoints elsewhere.
func (r *run) otherZone(zone string) string {
	s := r.d.o.Snapshot()
	for _, shard := range s.PoolShards[r.r.Pool.Name] {
		for _, id := range shard.Endpoints {
			if s.Endpoints[id].Zone != zone && !slices.Contains(r.avoid, id) {
				return zone
			}
		}
	}
	return ""
}
