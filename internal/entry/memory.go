package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/promtext"
	"github.com/chivewind/chivewind/internal/reqmem"
)

// memoryLogInterval is the shortest time between two log lines about rejections for lack of memory.
const memoryLogInterval = 10 * time.Second

// memoryReport is what the last reports about the memory of requests contained. Only Maintain uses it.
type memoryReport struct {
	counts   reqmem.Counts
	logged   reqmem.Counts
	loggedAt time.Time
}

// HoldConnection adds the memory that the runtime holds for a caller's connection; negative when it is closed.
func (s *Server) HoldConnection(bytes int64) { s.memory.Hold(reqmem.Connection, bytes) }

// reportMemory updates the metrics of the memory of requests, and logs rejections at most every memoryLogInterval.
func (s *Server) reportMemory() {
	held, waiters, counts := s.memory.Status()
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, s.stats.registry).Update(value) }
	for kind, bytes := range held {
		gauge(promtext.Name("chivewind_entry_request_memory_bytes", "kind", reqmem.Kind(kind).String()), bytes)
	}
	gauge("chivewind_entry_memory_waiters", int64(waiters))
	last := &s.memoryReport
	add := func(name string, n int64) { metrics.GetOrRegisterCounter(name, s.stats.registry).Inc(n) }
	add("chivewind_entry_memory_waits_total", counts.Waits-last.counts.Waits)
	add("chivewind_entry_memory_rejections_total", counts.Rejections-last.counts.Rejections)
	add("chivewind_entry_memory_stalled_total", counts.Stalled-last.counts.Stalled)
	last.counts = counts
	if counts.Rejections == last.logged.Rejections || time.Since(last.loggedAt) < memoryLogInterval {
		return
	}
	s.opts.Log.Warn("bodies were rejected for lack of memory", "rejected", counts.Rejections-last.logged.Rejections,
		"stalled", counts.Stalled-last.logged.Stalled, "waited", counts.Waits-last.logged.Waits, "waiting", waiters,
		"body_bytes", held[reqmem.Body], "response_bytes", held[reqmem.Response], "connection_bytes", held[reqmem.Connection])
	last.logged, last.loggedAt = counts, time.Now()
}

// holdResponse reserves n bytes for the buffer of a response. A request that has been forwarded is never dropped for
// memory, so the buffer is held also beyond the budget; release gives the memory back.
func (s *Server) holdResponse(n int64) (release func()) {
	s.memory.Hold(reqmem.Response, n)
	return func() { s.memory.Hold(reqmem.Response, -n) }
}
