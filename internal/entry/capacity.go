package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/capacity"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// minReportingShare is the fraction of the known daemons whose reports must be known to plan the number of endpoints.
	// With fewer, this daemon may be cut off from the others.
	minReportingShare = 0.5
	// unknownAge is the age of reports that are not known.
	unknownAge = time.Hour
)

// CapacityInput returns what this daemon knows about the pools whose number of endpoints can be set.
func (s *Server) CapacityInput(now time.Time) []capacity.Input {
	v := s.fleet.View()
	if v == nil || v.Table == nil {
		return nil
	}
	size, age := s.fleet.Size(), s.fleet.TimeSinceStoreReply()
	s.mu.Lock()
	defer s.mu.Unlock()
	reporting, reportAge := s.placer.ReportAge(now)
	if float64(reporting) < minReportingShare*float64(size-1) {
		reportAge = unknownAge
	}
	var inputs []capacity.Input
	for _, p := range v.Table.Pools {
		if p.Scaling == nil || p.Engine == nil {
			continue
		}
		load := s.placer.PoolLoad(now, p.Name)
		inputs = append(inputs, capacity.Input{
			Pool: p, Endpoints: s.capacityEndpoints(now, v.Endpoints, p.Name), Classes: capacityClasses(v.Table, p.Name, load),
			HalfLife: placement.DemandHalfLife, Streams: load.Streams, PendingPrefill: load.PendingPrefill,
			Refused: load.Refused, PrefillSpeed: load.PrefillSpeed, Age: max(age, reportAge),
		})
	}
	slices.SortFunc(inputs, func(a, b capacity.Input) int { return cmp.Compare(a.Pool.Name, b.Pool.Name) })
	return inputs
}

// capacityEndpoints returns the endpoints of a pool. The caller holds mu.
func (s *Server) capacityEndpoints(now time.Time, all map[string]traffic.Endpoint, pool string) []capacity.Endpoint {
	var endpoints []capacity.Endpoint
	for _, e := range all {
		if e.Pool != pool {
			continue
		}
		leaving, failing, speed := s.placer.EndpointCondition(now, e)
		endpoints = append(endpoints, capacity.Endpoint{
			Zone: e.Zone, Spot: e.Spot, Draining: leaving || e.State == traffic.EndpointDraining, Failing: failing, Speed: speed,
		})
	}
	return endpoints
}

// capacityClasses returns the load of the classes of a pool with the shortest targets of their routes.
func capacityClasses(t *traffic.Table, pool string, load placement.PoolLoad) []capacity.Class {
	var classes []capacity.Class
	for i := range t.Routes {
		r := &t.Routes[i]
		if !slices.ContainsFunc(r.Pools, func(p traffic.WeightedPool) bool { return p.Pool == pool }) {
			continue
		}
		known := slices.IndexFunc(classes, func(c capacity.Class) bool { return c.Name == r.Class })
		if known < 0 {
			l := load.Classes[placement.HashClass(pool, r.Class)]
			known = len(classes)
			classes = append(classes, capacity.Class{
				Name: r.Class, Tier: r.Tier, FirstByte: r.FirstByte, EventGap: r.EventGap,
				Requests: l.Requests, Prefill: l.Prefill, Decode: l.Decode,
			})
		}
		if c := &classes[known]; r.EventGap > 0 && (c.EventGap == 0 || r.EventGap < c.EventGap) {
			c.EventGap = r.EventGap
		}
	}
	return classes
}
