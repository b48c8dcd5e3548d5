package tiered

import (
	"errors"
	"time"
)

// Settings are the operators' settings of the policy.
type Settings struct {
	// FloorWindow is the longest time without a grant for a class that has waiting requests and
	// whose floor is below one slot. Default 10s.
	FloorWindow time.Duration `yaml:"floor_window"`
	// MaxWaiting bounds the number of waiting requests of a shard. It protects the memory;
	// the queue is normally bounded by time. Default 20000.
	MaxWaiting int `yaml:"max_waiting"`
	// InitialSlots is the number of slots with which an endpoint starts. Default 16.
	InitialSlots int `yaml:"initial_slots"`
	// LimitInterval is the time between two changes of an endpoint's slots. Default 1s.
	LimitInterval time.Duration `yaml:"limit_interval"`
	// LimitDecrease is the smallest factor by which an endpoint's slots are reduced when tokens
	// arrive too slowly. Default 0.9.
	LimitDecrease float64 `yaml:"limit_decrease"`
	// AffinityBound is the load, as a multiple of the mean, up to which an endpoint is preferred
	// for its cached prefix. Default 1.25.
	AffinityBound float64 `yaml:"affinity_bound"`
	// ZoneTie is the difference of cost below which the availability zone decides. The cost is the
	// relative load plus the expected time to the first token in proportion to its target.
	// Default 0.05.
	ZoneTie float64 `yaml:"zone_tie"`
	// CacheBlocks is the number of prefix blocks tracked for an endpoint that does not state the
	// size of its cache. Default 2048.
	CacheBlocks int `yaml:"cache_blocks"`
	// MaxCacheBlocks bounds the blocks tracked for all endpoints together. Default 65536.
	MaxCacheBlocks int `yaml:"max_cache_blocks"`
	// LateBound bounds the queue of classes whose late requests are demoted or served: a request is
	// shed early when its predicted wait exceeds this multiple of its target. Default 3.
	LateBound float64 `yaml:"late_bound"`
	// ReportMaxAge is the age from which a load report is ignored. Default 5s.
	ReportMaxAge time.Duration `yaml:"report_max_age"`
	// PreemptLead is how long before its latest start a request may preempt. Default 200ms.
	PreemptLead time.Duration `yaml:"preempt_lead"`
	// PreemptMinRest is the shortest expected rest of an attempt that may be preempted. Default 1s.
	PreemptMinRest time.Duration `yaml:"preempt_min_rest"`
	// NoEndpointWait is how long a request waits when no endpoint can run it. Default 1s.
	NoEndpointWait time.Duration `yaml:"no_endpoint_wait"`
	// Off turns off single mechanisms, for comparisons.
	Off Switches `yaml:"off"`
}

// Switches turn off mechanisms one by one. All but preemption are on by default.
type Switches struct {
	// Tiers: all classes form one tier.
	Tiers bool `yaml:"tiers"`
	// Floors: classes have no floor.
	Floors bool `yaml:"floors"`
	// Slack: within a tier the request that arrived first goes first.
	Slack bool `yaml:"slack"`
	// Fairness: within a class the request that was submitted first goes first.
	Fairness bool `yaml:"fairness"`
	// Late: requests that can no longer meet their target keep their place.
	Late bool `yaml:"late"`
	// Admission: no request is shed because of a predicted wait.
	Admission bool `yaml:"admission"`
	// Limits: each endpoint has its maximum number of slots.
	Limits bool `yaml:"limits"`
	// Reports: load is known only from own requests.
	Reports bool `yaml:"reports"`
	// Affinity: cached prefixes do not count.
	Affinity bool `yaml:"affinity"`
	// Zones: the availability zone does not count.
	Zones bool `yaml:"zones"`
	// Health: no endpoint is ejected.
	Health bool `yaml:"health"`
	// Preemption: no running request is preempted. Off by default: in the bench it saved no target
	// and cost 1.0% to 1.7% of the computed tokens in a burst.
	Preemption bool `yaml:"preemption"`
}

// DefaultSettings returns the settings that apply where operators set nothing.
func DefaultSettings() Settings {
	return Settings{
		FloorWindow:    10 * time.Second,
		MaxWaiting:     20000,
		InitialSlots:   16,
		LimitInterval:  time.Second,
		LimitDecrease:  0.9,
		AffinityBound:  1.25,
		ZoneTie:        0.05,
		CacheBlocks:    2048,
		MaxCacheBlocks: 65536,
		LateBound:      3,
		ReportMaxAge:   5 * time.Second,
		PreemptLead:    200 * time.Millisecond,
		PreemptMinRest: time.Second,
		NoEndpointWait: time.Second,
		Off:            Switches{Preemption: true},
	}
}

// Validate implements chivewind.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.FloorWindow <= 0 || s.LimitInterval <= 0 || s.ReportMaxAge <= 0:
		return errors.New("floor_window, limit_interval and report_max_age must be positive")
	case s.PreemptLead < 0 || s.PreemptMinRest < 0 || s.NoEndpointWait < 0:
		return errors.New("preempt_lead, preempt_min_rest and no_endpoint_wait must not be negative")
	case s.MaxWaiting < 1 || s.InitialSlots < 1:
		return errors.New("max_waiting and initial_slots must be at least 1")
	case s.CacheBlocks < 0 || s.MaxCacheBlocks < 0:
		return errors.New("cache_blocks and max_cache_blocks must not be negative")
	case s.LimitDecrease <= 0 || s.LimitDecrease >= 1:
		return errors.New("limit_decrease must be between 0 and 1")
	case s.AffinityBound < 1 || s.LateBound < 1 || s.ZoneTie < 0:
		return errors.New("affinity_bound and late_bound must be at least 1 and zone_tie not negative")
	}
	return nil
}
