package tiered

import (
	"errors"
	"time"
)

// Settings are the policy's settings in the operators' configuration.
type Settings struct {
	// FloorWindow is the time since its last grant after which a class with waiting requests gets one of
	// the next free slots, even if its running requests use all slots of its floor or its floor is below
	// one slot. Each running request above the floor adds one FloorWindow. Default 10s.
	FloorWindow time.Duration `yaml:"floor_window"`
	// MaxWaiting is the hard bound on the number of waiting requests of a shard. It limits memory use;
	// normally the predicted wait limits the queue first. Default 20000.
	MaxWaiting int `yaml:"max_waiting"`
	// InitialSlots is an endpoint's slot limit when it is added, within its MinSlots and MaxSlots.
	// Default 16.
	InitialSlots int `yaml:"initial_slots"`
	// LimitInterval is the time between two changes of an endpoint's slot limit. Default 1s.
	LimitInterval time.Duration `yaml:"limit_interval"`
	// LimitDecrease is the smallest factor by which an endpoint's slot limit is multiplied when tokens
	// arrive too slowly, and the factor when requests queue inside the endpoint. Default 0.9.
	LimitDecrease float64 `yaml:"limit_decrease"`
	// AffinityBound is the load, as a multiple of the mean, up to which an endpoint is preferred
	// for its cached prefix. Default 1.25.
	AffinityBound float64 `yaml:"affinity_bound"`
	// ZoneTie is the difference in cost up to which an endpoint in the request's availability zone is
	// preferred. The cost is the relative load plus the expected time to the first token relative to
	// its target. Default 0.05.
	ZoneTie float64 `yaml:"zone_tie"`
	// CacheBlocks is the number of prefix blocks tracked for an endpoint that does not state the
	// size of its cache. Default 2048.
	CacheBlocks int `yaml:"cache_blocks"`
	// MaxCacheBlocks bounds the blocks tracked for all endpoints together. Default 65536.
	MaxCacheBlocks int `yaml:"max_cache_blocks"`
	// LateBound bounds the queue of classes whose late requests are demoted or served and that have no
	// MaxWait: a request is shed early when its wait is predicted to exceed this multiple of the time
	// from its arrival to its latest start. Default 3.
	LateBound float64 `yaml:"late_bound"`
	// ReportMaxAge is the age beyond which a load report is ignored. Default 5s.
	ReportMaxAge time.Duration `yaml:"report_max_age"`
	// PreemptLead is how long before its latest start a request may preempt. Default 200ms.
	PreemptLead time.Duration `yaml:"preempt_lead"`
	// PreemptMinRemaining is the expected remaining time that a running attempt must exceed to be
	// preempted. Default 1s.
	PreemptMinRemaining time.Duration `yaml:"preempt_min_rest"`
	// NoEndpointWait is how long a request that no endpoint can run waits before it is shed. Default 1s.
	NoEndpointWait time.Duration `yaml:"no_endpoint_wait"`
	// Disabled turns off individual mechanisms, for ablation comparisons.
	Disabled DisabledMechanisms `yaml:"off"`
}

// DisabledMechanisms says which mechanisms are turned off. The comment of a field says what applies if it
// is true. All mechanisms except preemption are on by default.
type DisabledMechanisms struct {
	// Tiers: all classes form one tier.
	Tiers bool `yaml:"tiers"`
	// Floors: classes have no floor.
	Floors bool `yaml:"floors"`
	// Slack: within a tier the class whose next request was submitted first goes first.
	Slack bool `yaml:"slack"`
	// Fairness: within a class the request that was submitted first goes first.
	Fairness bool `yaml:"fairness"`
	// Late: requests that can no longer meet their target keep their position in the queue.
	Late bool `yaml:"late"`
	// Admission: no request is shed because of a predicted wait.
	Admission bool `yaml:"admission"`
	// Limits: each endpoint always has its maximum number of slots.
	Limits bool `yaml:"limits"`
	// Reports: load is known only from this scheduler's own attempts.
	Reports bool `yaml:"reports"`
	// Affinity: cached prefixes have no effect on the choice of an endpoint.
	Affinity bool `yaml:"affinity"`
	// Zones: the request's availability zone is not preferred.
	Zones bool `yaml:"zones"`
	// Health: no endpoint is ejected.
	Health bool `yaml:"health"`
	// Preemption: no running request is preempted. This is the default, because preemption met no
	// additional targets in benchmark bursts and cost 1.0% to 1.7% of the computed tokens.
	Preemption bool `yaml:"preemption"`
}

// DefaultSettings returns the settings that apply where the configuration sets nothing.
func DefaultSettings() Settings {
	return Settings{
		FloorWindow:         10 * time.Second,
		MaxWaiting:          20000,
		InitialSlots:        16,
		LimitInterval:       time.Second,
		LimitDecrease:       0.9,
		AffinityBound:       1.25,
		ZoneTie:             0.05,
		CacheBlocks:         2048,
		MaxCacheBlocks:      65536,
		LateBound:           3,
		ReportMaxAge:        5 * time.Second,
		PreemptLead:         200 * time.Millisecond,
		PreemptMinRemaining: time.Second,
		NoEndpointWait:      time.Second,
		Disabled:            DisabledMechanisms{Preemption: true},
	}
}

// Validate implements chivewind.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.FloorWindow <= 0 || s.LimitInterval <= 0 || s.ReportMaxAge <= 0:
		return errors.New("floor_window, limit_interval and report_max_age must be positive")
	case s.PreemptLead < 0 || s.PreemptMinRemaining < 0 || s.NoEndpointWait < 0:
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
