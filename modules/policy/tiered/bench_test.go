package tiered

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// benchClasses are three tiers whose targets are far away, so that nothing expires.
var benchClasses = []policy.Class{
	{Name: "quick", Tier: 1, FirstToken: time.Hour, BetweenTokens: 34 * time.Millisecond, Floor: 0.02, Late: policy.LateShed},
	{Name: "read", Tier: 2, FirstToken: 2 * time.Hour, Floor: 0.02, Late: policy.LateDemote},
	{Name: "batch", Tier: 3, Total: 24 * time.Hour, Floor: 0.02, Late: policy.LateServe},
}

// benchShard is a full shard with a constant number of waiting requests.
type benchShard struct {
	p         *Policy
	now       time.Duration
	requests  []policy.Request
	running   []policy.AttemptID
	decisions []policy.Decision
	next      int
}

func newBenchShard(endpoints, workspaces, waiting int) *benchShard {
	s := &benchShard{p: New(DefaultSettings())}
	s.p.SetClasses(0, benchClasses)
	var list []policy.Endpoint
	for i := range endpoints {
		list = append(list, policy.Endpoint{ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprintf("z%d", i%7), MaxSlots: 16})
	}
	s.p.SetEndpoints(0, list)
	s.requests = make([]policy.Request, 4*(max(0, waiting)+16*endpoints))
	for i := range s.requests {
		r := &s.requests[i]
		r.ID = policy.AttemptID{Request: fmt.Sprintf("request-%08d", i), Number: 1}
		r.Class = benchClasses[i%3].Name
		r.Workspace = fmt.Sprintf("workspace-%04d", i%workspaces)
		r.Zone = fmt.Sprintf("z%d", i%7)
		r.PromptTokens = 800
		r.MaxTokens = 1000
		for b := range 16 {
			r.Blocks = append(r.Blocks, uint64(i%50)*1000+uint64(b))
		}
	}
	for range waiting + 16*endpoints {
		s.submit()
	}
	s.step()
	return s
}

func (s *benchShard) submit() {
	r := &s.requests[s.next]
	s.next = (s.next + 1) % len(s.requests)
	r.Arrival = s.now
	s.p.Submit(s.now, r)
}

func (s *benchShard) step() {
	s.decisions, _ = s.p.Step(s.now, s.decisions[:0])
	for _, d := range s.decisions {
		if d.Kind == policy.Grant {
			s.running = append(s.running, d.ID)
		}
	}
}

// replaceOne finishes one request, submits another and runs a step.
func (s *benchShard) replaceOne() {
	s.now += 400 * time.Microsecond
	i := s.next % len(s.running)
	id := s.running[i]
	last := len(s.running) - 1
	s.running[i] = s.running[last]
	s.running = s.running[:last]
	s.p.Progress(s.now, id, 20, 300*time.Millisecond)
	s.p.Finish(s.now, id, policy.Completed, 100)
	s.submit()
	s.step()
}

// BenchmarkTurn measures all calls for one request in a full shard: submission, the decision, one
// progress report and the end.
func BenchmarkTurn(b *testing.B) {
	for _, size := range [][3]int{
		{8, 8500, 100}, {20, 10, 100}, {20, 10, 10000}, {200, 1000, 100},
		{200, 1000, 10000}, {600, 8500, 100}, {600, 8500, 10000},
		// Half of the slots are free, so that a choice considers all endpoints.
		{600, 8500, -4800},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/workspaces=%d/waiting=%d", size[0], size[1], size[2]), func(b *testing.B) {
			s := newBenchShard(size[0], size[1], size[2])
			for range 2000 {
				s.replaceOne()
			}
			b.ReportAllocs()
			for b.Loop() {
				s.replaceOne()
			}
		})
	}
}
