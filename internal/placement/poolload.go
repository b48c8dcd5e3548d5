package placement

import (
	"math"
	"slices"
	"time"

	"github.com/chivewind/chivewind/traffic"
)

// DemandHalfLife is the time in which the weight of past requests halves in the rates of a ClassLoad.
const DemandHalfLife = demandHalfLife

// ClassLoad is the recent load of a class on all daemons per second, refused requests included.
type ClassLoad struct {
	// Requests, Prefill and Decode are requests, unshared prompt tokens and expected output tokens.
	Requests, Prefill, Decode float64
}

// PoolLoad is the load of a pool of engines on all daemons, as far as this daemon knows it.
type PoolLoad struct {
	// Classes holds the load by HashClass.
	Classes map[uint32]ClassLoad
	// Streams is the number of requests in progress, and PendingPrefill the number of prompt tokens that wait for prefill.
	Streams, PendingPrefill int
	// Refused is the fraction of requests of the least urgent classes that this daemon has refused lately as the scheduler.
	Refused float64
	// PrefillSpeed is the measured prefill speed of an engine in tokens per second; 0 while there are few measurements.
	PrefillSpeed float64
}

// minSpeedObservations is the number of recent first events from which the prefill speed counts as measured. The prior points
// of the latency model then have a sixth of the weight.
const minSpeedObservations = 100

// PoolLoad returns the load of a pool.
func (b *Placer) PoolLoad(now time.Time, poolName string) PoolLoad {
	l := PoolLoad{Classes: map[uint32]ClassLoad{}}
	for class, d := range b.demand.total(now) {
		if b.classPools[class] == poolName {
			l.Classes[class] = ClassLoad{Requests: d.requests, Prefill: d.prefill, Decode: d.decode}
		}
	}
	for _, e := range b.endpoints {
		if e.Pool == poolName {
			sum := e.load()
			l.Streams += max(sum.streams, 0)
			l.PendingPrefill += max(sum.pendingPrefill, 0)
		}
	}
	if p := b.pools[poolName]; p != nil {
		if p.latency.n >= minSpeedObservations {
			l.PrefillSpeed = p.latency.prefillSpeed() * float64(time.Second/time.Millisecond)
		}
		p.refusals.decay(now)
		if p.refusals.total >= 1 {
			l.Refused = p.refusals.refused / p.refusals.total
		}
	}
	return l
}

// EndpointCondition returns whether an endpoint has said that it is leaving, whether it is failing, and its speed relative to
// the others of its pool.
func (b *Placer) EndpointCondition(now time.Time, info traffic.Endpoint) (leaving, failing bool, speed float64) {
	_, leaving = b.leaving[incarnationHash(info)]
	e := b.endpoints[info.ID]
	if e == nil {
		return leaving, false, 1
	}
	// Of the requests that other daemons send, this daemon learns of the first event and of the end only.
	silent := e.own.streams > 0 && e.unresponsive(now)
	return leaving, now.Before(e.health.downUntil) || silent, e.relativeSpeed
}

// reportQuantile is the fraction of the daemons whose reports must not be older than the result of ReportAge. The demand of
// the others is that of their last reports: most of them are down, and their callers turn to the other daemons.
const reportQuantile = 0.75

// ReportAge returns the number of daemons whose reports are known, and the age of the latest reports of most of them.
func (b *Placer) ReportAge(now time.Time) (daemons int, age time.Duration) {
	ages := make([]time.Duration, 0, len(b.demand.reportedAt))
	for _, at := range b.demand.reportedAt {
		ages = append(ages, now.Sub(at))
	}
	if len(ages) == 0 {
		return 0, 0
	}
	slices.Sort(ages)
	return len(ages), ages[int(math.Ceil(reportQuantile*float64(len(ages))))-1]
}
