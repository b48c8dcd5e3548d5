package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// lateActions maps late actions of the configuration to those of the policy.
var lateActions = map[config.LateAction]policy.LateAction{
	config.LateShed:   policy.LateShed,
	config.LateDemote: policy.LateDemote,
	config.LateServe:  policy.LateServe,
}

// policyClasses returns the policy's form of the active preset's classes, sorted by name.
func policyClasses(s *config.Snapshot) []policy.Class {
	var list []policy.Class
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		c := s.Classes[name]
		pc := policy.Class{
			Name: c.Name, Tier: c.Tier,
			FirstToken: c.FirstToken.D(), BetweenTokens: c.BetweenTokens.D(), Total: c.Total.D(),
			Late: lateActions[c.Late], MaxWait: c.MaxWait.D(),
		}
		if c.Floor != nil {
			pc.Floor = float64(*c.Floor)
		}
		list = append(list, pc)
	}
	return list
}

// policyWeights returns the policy's form of the workspaces' weights, without those that are unset or 1, the
// default.
func policyWeights(s *config.Snapshot) []policy.Weight {
	var list []policy.Weight
	for _, w := range s.Config.Workspaces {
		if w.Weight != 0 && w.Weight != 1 {
			list = append(list, policy.Weight{Workspace: w.Name, Value: w.Weight})
		}
	}
	return list
}

// policyEndpoints returns the policy's form of a shard's endpoints. draining holds the IDs of endpoints that
// drain for reasons outside the configuration.
func policyEndpoints(s *config.Snapshot, shard config.Shard, draining map[string]bool) []policy.Endpoint {
	var list []policy.Endpoint
	for _, id := range shard.Endpoints {
		e := s.Endpoints[id]
		list = append(list, policy.Endpoint{
			ID: e.ID, Zone: e.Zone, Model: s.Pools[e.Pool].Model, Adapters: e.Adapters,
			MinSlots: e.MinSlots, MaxSlots: e.MaxSlots,
			Draining:  e.Drain || draining[e.ID],
			CanResume: e.Has(config.CapResume),
		})
	}
	return list
}

// policyRequest converts an Acquire to a policy request. The message has durations instead of times,
// because the clocks of the daemons differ; now is the policy time to which they are relative.
func policyRequest(now time.Duration, a *peer.Acquire) *policy.Request {
	r := &policy.Request{
		ID:    attemptID(a.Attempt),
		Class: a.Class, Workspace: a.Workspace, Model: a.Model, Adapter: a.Adapter, Zone: a.Zone,
		PromptTokens: int(a.PromptTokens), MaxTokens: int(a.MaxTokens), ResumedTokens: int(a.ResumedTokens),
		Arrival: now - fromMicros(a.WaitedUs),
		Blocks:  a.Blocks, Avoid: a.Avoid, AvoidZone: a.AvoidZone,
		Suspect: a.Suspect, WasPreempted: a.Preempted,
	}
	if a.RemainingUs > 0 {
		r.Deadline = now + fromMicros(a.RemainingUs)
	}
	return r
}

func attemptID(a *peer.Attempt) policy.AttemptID {
	return policy.AttemptID{Request: a.GetRequestId(), Number: a.GetNumber()}
}

func wireAttempt(id policy.AttemptID) *peer.Attempt {
	return &peer.Attempt{RequestId: id.Request, Number: id.Number}
}

func fromMicros(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

// Reasons for shedding a request, in peer.Shed and dispatch.ShedError.
const (
	ReasonOverload    = "overload"
	ReasonExpired     = "expired"
	ReasonNoEndpoint  = "no_endpoint"
	ReasonNoScheduler = "no_scheduler"
)

func wireReason(r policy.ShedReason) string {
	switch r {
	case policy.Expired:
		return ReasonExpired
	case policy.NoEndpoint:
		return ReasonNoEndpoint
	}
	return ReasonOverload
}

// wireStatus converts a policy's status to a message.
func wireStatus(shard string, s policy.Status) *peer.ShardStatus {
	out := &peer.ShardStatus{Shard: shard}
	for _, e := range s.Endpoints {
		out.Endpoints = append(out.Endpoints, &peer.EndpointStatus{
			Id: e.ID, Zone: e.Zone, State: e.State, Running: uint32(e.Running), Slots: uint32(e.Slots),
		})
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, &peer.ClassStatus{
			Class: c.Class, Waiting: uint32(c.Waiting), Running: uint32(c.Running), Shed: c.Shed,
		})
	}
	return out
}
