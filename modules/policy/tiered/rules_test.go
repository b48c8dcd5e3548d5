package tiered

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/chivewind/chivewind/internal/estimate"
	"github.com/chivewind/chivewind/policy"
)

// fields are the words of one input line: a name, then flags and key=value pairs.
type fields struct {
	t      *testing.T
	name   string
	values map[string]string
}

func parse(t *testing.T, line string) fields {
	words := strings.Fields(line)
	f := fields{t: t, name: words[0], values: map[string]string{}}
	for _, w := range words[1:] {
		key, value, _ := strings.Cut(w, "=")
		f.values[key] = value
	}
	return f
}

func (f fields) has(key string) bool {
	_, ok := f.values[key]
	return ok
}

func (f fields) number(key string) int {
	if f.values[key] == "" {
		return 0
	}
	n, err := strconv.Atoi(f.values[key])
	if err != nil {
		f.t.Fatalf("%s: %v", f.name, err)
	}
	return n
}

func (f fields) duration(key string) time.Duration {
	if f.values[key] == "" {
		return 0
	}
	d, err := time.ParseDuration(f.values[key])
	if err != nil {
		f.t.Fatalf("%s: %v", f.name, err)
	}
	return d
}

func (f fields) list(key string) []string {
	if f.values[key] == "" {
		return nil
	}
	return strings.Split(f.values[key], ",")
}

func (f fields) blocks(key string) (blocks []uint64) {
	for _, s := range f.list(key) {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			f.t.Fatalf("%s: %v", f.name, err)
		}
		blocks = append(blocks, n)
	}
	return blocks
}

var lateActions = map[string]policy.LateAction{
	"": policy.LateShed, "shed": policy.LateShed, "demote": policy.LateDemote, "serve": policy.LateServe,
}

var outcomes = map[string]policy.Outcome{
	"": policy.Completed, "failed": policy.Failed, "crashed": policy.Crashed,
	"refused": policy.Refused, "preempted": policy.Preempted, "notsent": policy.NotSent,
}

var reasons = map[policy.ShedReason]string{
	policy.Overload: "overload", policy.Expired: "expired", policy.NoEndpoint: "no endpoint",
}

func (f fields) class() policy.Class {
	floor, _ := strconv.ParseFloat(f.values["floor"], 64)
	return policy.Class{
		Name: f.name, Tier: f.number("tier"), FirstToken: f.duration("first"),
		BetweenTokens: f.duration("between"), Total: f.duration("total"),
		Floor: floor, Late: lateActions[f.values["late"]], MaxWait: f.duration("wait"),
	}
}

func (f fields) endpoint() policy.Endpoint {
	return policy.Endpoint{
		ID: f.name, Zone: f.values["zone"], Model: f.values["model"], Adapters: f.list("adapters"),
		MinSlots: f.number("min"), MaxSlots: f.number("slots"), Draining: f.has("draining"),
		CacheBlocks: f.number("cache"),
	}
}

func (f fields) request(now time.Duration) *policy.Request {
	r := &policy.Request{
		ID: policy.AttemptID{Request: f.name, Number: 1}, Class: f.values["class"],
		Workspace: f.values["workspace"], Model: f.values["model"], Adapter: f.values["adapter"],
		Zone: f.values["zone"], PromptTokens: f.number("prompt"), MaxTokens: f.number("max"), ResumedTokens: f.number("resumed"),
		Arrival: now, Deadline: f.duration("deadline"), Blocks: f.blocks("blocks"),
		Avoid: f.list("avoid"), AvoidZone: f.values["avoidzone"],
		Suspect: f.has("suspect"), WasPreempted: f.has("waspreempted"),
	}
	if f.has("arrival") {
		r.Arrival = f.duration("arrival")
	}
	return r
}

// shard runs the commands of one file.
type shard struct {
	t   *testing.T
	p   *Policy
	now time.Duration
}

// requests returns the request of a line, or several: "r count=3" means r1, r2 and r3.
func (s *shard) requests(f fields) []*policy.Request {
	if !f.has("count") {
		return []*policy.Request{f.request(s.now)}
	}
	var list []*policy.Request
	name := f.name
	for i := range f.number("count") {
		f.name = fmt.Sprint(name, i+1)
		list = append(list, f.request(s.now))
	}
	return list
}

func (s *shard) runLine(command string, f fields) string {
	id := policy.AttemptID{Request: f.name, Number: 1}
	switch command {
	case "submit":
		for _, r := range s.requests(f) {
			s.p.Submit(s.now, r)
		}
	case "resume":
		for _, r := range s.requests(f) {
			s.p.Resume(s.now, r, f.values["endpoint"], f.number("tokens"))
		}
	case "progress":
		s.p.Progress(s.now, id, f.number("tokens"), f.duration("first"))
	case "finish":
		s.p.Finish(s.now, id, outcomes[f.values["outcome"]], f.number("tokens"))
	case "cancel":
		s.p.Cancel(s.now, id)
	case "report":
		s.p.Report(s.now, policy.LoadReport{
			Endpoint: f.name, MeasuredAt: f.duration("at"), Running: f.number("running"), Waiting: f.number("waiting"),
			BetweenTokens: f.duration("between"), CacheSequence: uint64(f.number("sequence")),
			CacheAdded: f.blocks("added"), CacheRemoved: f.blocks("removed"),
		})
	case "weights":
		s.p.SetWeights(s.now, []policy.Weight{{Workspace: f.name, Value: float64(f.number("weight"))}})
	case "measured":
		// Gives a class a history of ten answers of the same duration.
		c := s.p.classFor(s.now, f.name)
		for range 10 {
			c.durationSeconds.Add(f.duration("duration").Seconds())
			s.p.estimates.Series(estimate.Key{Class: f.name}).AddCompletion(0, f.duration("duration"))
		}
	default:
		s.t.Fatalf("unknown command %q", command)
	}
	return ""
}

func (s *shard) step() string {
	var b strings.Builder
	decisions, _ := s.p.Step(s.now, nil)
	for _, d := range decisions {
		switch d.Kind {
		case policy.Grant:
			fmt.Fprintf(&b, "grant %s on %s\n", d.ID.Request, d.Endpoint)
		case policy.Shed:
			fmt.Fprintf(&b, "shed %s: %s, retry after %s\n", d.ID.Request, reasons[d.Reason], d.RetryAfter)
		case policy.Preempt:
			fmt.Fprintf(&b, "preempt %s on %s\n", d.ID.Request, d.Endpoint)
		}
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

func (s *shard) status() string {
	var b strings.Builder
	status := s.p.Status(s.now)
	for _, c := range status.Classes {
		fmt.Fprintf(&b, "%s: waiting %d, running %d, shed %d\n", c.Class, c.Waiting, c.Running, c.Shed)
	}
	for _, e := range status.Endpoints {
		fmt.Fprintf(&b, "%s: %s, %d of %d\n", e.ID, e.State, e.Running, e.Slots)
	}
	return b.String()
}

func (s *shard) run(d *datadriven.TestData) string {
	var at string
	if d.HasArg("at") {
		d.ScanArgs(s.t, "at", &at)
		s.now = fields{t: s.t, values: map[string]string{"at": at}}.duration("at")
	}
	var out string
	var classes []policy.Class
	var endpoints []policy.Endpoint
	for line := range strings.Lines(d.Input) {
		f := parse(s.t, line)
		switch d.Cmd {
		case "classes":
			classes = append(classes, f.class())
		case "endpoints":
			endpoints = append(endpoints, f.endpoint())
		default:
			out += s.runLine(d.Cmd, f)
		}
	}
	switch d.Cmd {
	case "new":
		s.p, s.now = New(withPreemption()), 0
	case "classes":
		s.p.SetClasses(s.now, classes)
	case "endpoints":
		s.p.SetEndpoints(s.now, endpoints)
	case "status":
		out = s.status()
	case "step":
		out = s.step()
	}
	if n := s.p.Status(s.now).TierViolations; n != 0 {
		s.t.Fatalf("%s: %d violations of the tier rule", d.Pos, n)
	}
	return out
}

// TestRules guards each rule of the policy with a table in testdata. Every command also checks that
// the tier rule was kept.
func TestRules(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.Contains(path, "rapid") {
			// rapid stores the inputs of failed property tests here. They are not test tables.
			return
		}
		s := &shard{t: t}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.run(d)
		})
	})
}
