package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/internal/standin/engine"
)

// Report has the results of a run as the callers and the stand-ins recorded them.
type Report struct {
	Seed      uint64                 `json:"seed"`
	DurationS float64                `json:"duration_s"`
	Classes   map[string]ClassReport `json:"classes"`
	Bookings  BookingReport          `json:"bookings"`
	// Goodput is the rate, in tokens/s, of the tokens of complete answers that met all targets of their
	// class.
	Goodput float64 `json:"goodput"`
	// WastedWork is the share of the engines' generated tokens that are not part of a complete answer.
	WastedWork float64 `json:"wasted_work"`
	// Lost is the number of requests whose callers got no outcome.
	Lost int `json:"lost"`
	// DuplicateRuns is the number of bookings that ran more than once.
	DuplicateRuns int `json:"doubled"`
	// WrongAnswers is the number of answers with text of another request.
	WrongAnswers int `json:"foreign"`
	// TruncatedAnswers is the number of incomplete answers that were reported as complete.
	TruncatedAnswers int `json:"cut"`
	// Violations describes all violations that the checker found, including those counted above.
	Violations []string `json:"violations"`
}

// ClassReport has the results of a class.
type ClassReport struct {
	// Attainment is the share of all requests of the class that met all of its targets.
	Attainment float64        `json:"attainment"`
	Requests   int            `json:"requests"`
	Outcomes   map[string]int `json:"outcomes"`
	// FirstTokenP95 is in milliseconds, over the completed requests.
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
}

// BookingReport has the numbers of bookings and of their requests.
type BookingReport struct {
	Bookings int `json:"bookings"`
	// Sends includes the callers' resends with the same key.
	Sends int `json:"sends"`
	// Ran is the number of bookings that ran at a service at least once.
	Ran int `json:"ran"`
}

// reportQuantile is the share of an answer's gaps between tokens that must be within the class's target, and
// the quantile of the first-token times in the report.
const reportQuantile = 0.95

// metTargets reports whether an answer is complete and met all targets of its class.
func (c *chatRequest) metTargets(class config.Class) bool {
	slow := 0
	for _, gap := range c.gaps {
		if class.BetweenTokens > 0 && gap > class.BetweenTokens.D() {
			slow++
		}
	}
	return c.outcome == checker.Completed && meetsTarget(c.firstToken, class.FirstToken) &&
		meetsTarget(c.total, class.Total) && float64(slow) <= (1-reportQuantile)*float64(len(c.gaps))
}

// meetsTarget reports whether d is within target; a target of 0 is not set.
func meetsTarget(d time.Duration, target config.Duration) bool { return target == 0 || d <= target.D() }

// report computes the results of the run.
func (l *loadGenerator) report(o Options) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Seed: o.Seed, DurationS: o.Duration.Seconds(), Classes: map[string]ClassReport{}, Violations: []string{}}
	goodTokens, delivered, generated := 0, 0, 0
	for _, t := range trafficMix {
		class := l.classByName(t.class)
		report := ClassReport{Outcomes: map[string]int{}}
		met := 0
		var first []time.Duration
		for _, c := range l.chats {
			if c.class != t.class {
				continue
			}
			report.Requests++
			outcome := c.outcome
			if outcome == "" {
				outcome = "none"
			}
			report.Outcomes[string(outcome)]++
			if c.outcome == checker.Completed {
				delivered += c.tokens
				first = append(first, c.firstToken)
			}
			if c.metTargets(class) {
				met++
				goodTokens += c.tokens
			}
		}
		if report.Requests > 0 {
			report.Attainment = float64(met) / float64(report.Requests)
		}
		report.FirstTokenP95 = p95(first).Seconds() * 1000
		r.Classes[t.class] = report
	}
	for _, c := range l.chats {
		for _, e := range l.fleet.engines {
			generated += e.AttemptsByPrompt(engine.ChatPrompt(c.prompt)).Tokens
		}
	}
	r.Goodput = float64(goodTokens) / o.Duration.Seconds()
	if generated > 0 {
		r.WastedWork = max(0, 1-float64(delivered)/float64(generated))
	}
	r.Bookings = l.bookingReport()
	r.countViolations(append(l.events, l.endpointRuns()...))
	return r
}

// bookingReport counts the bookings, their requests, and the bookings that ran. Whether a booking ran is
// looked up by its key at the stand-ins.
func (l *loadGenerator) bookingReport() BookingReport {
	b := BookingReport{Sends: len(l.bookingRequests)}
	seen := map[string]bool{}
	for _, request := range l.bookingRequests {
		if seen[request.key] {
			continue
		}
		seen[request.key] = true
		b.Bookings++
		if l.bookingRuns(request.key) > 0 {
			b.Ran++
		}
	}
	return b
}

// bookingRuns returns how often the stand-ins ran a booking.
func (l *loadGenerator) bookingRuns(key string) int {
	n := 0
	for _, p := range l.fleet.plainServices {
		n += p.RunsByKey(key)
	}
	return n
}

// endpointRuns returns the requests that the stand-ins ran as events for the checker.
func (l *loadGenerator) endpointRuns() []checker.Event {
	var events []checker.Event
	ran := func(n int, e checker.Event) {
		e.Kind = checker.EndpointRan
		for range n {
			events = append(events, e)
		}
	}
	for _, c := range l.chats {
		for i, e := range l.fleet.engines {
			ran(e.AttemptsByID(c.id).Started, checker.Event{Request: c.id, Endpoint: l.fleet.config.Endpoints[i].ID})
		}
	}
	keys := map[string]bool{}
	for _, request := range l.bookingRequests {
		for i, p := range l.fleet.plainServices {
			endpoint := l.fleet.config.Endpoints[engineCount+i].ID
			ran(p.RunsByID(request.id), checker.Event{Request: request.id, Endpoint: endpoint})
			if !keys[request.key] {
				ran(p.RunsByKey(request.key), checker.Event{Key: request.key, Endpoint: endpoint})
			}
		}
		keys[request.key] = true
	}
	return events
}

// countViolations checks the events and adds the violations to the report.
func (r *Report) countViolations(events []checker.Event) {
	for _, v := range checker.Check(events, checker.DefaultBounds) {
		r.Violations = append(r.Violations, v.String())
		switch v.Rule {
		case checker.RuleLost:
			r.Lost++
		case checker.RuleDuplicateRun:
			r.DuplicateRuns++
		case checker.RuleWrongAnswer:
			r.WrongAnswers++
		case checker.RuleTruncated:
			r.TruncatedAnswers++
		}
	}
}

// p95 sorts values and returns their 95th percentile, or 0 if there are none.
func p95(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(reportQuantile*float64(len(values)-1))]
}

// Write writes the report to out as a table.
func (r Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tATTAINMENT\tREQUESTS\tCOMPLETED\tNOT RUN\tFAILED\tP95 FIRST TOKEN")
	for _, t := range trafficMix {
		c := r.Classes[t.class]
		fmt.Fprintf(w, "%s\t%.1f%%\t%d\t%d\t%d\t%d\t%.0f ms\n", t.class, 100*c.Attainment, c.Requests,
			c.Outcomes[string(checker.Completed)], c.Outcomes[string(checker.NotRun)], c.Outcomes[string(checker.Failed)], c.FirstTokenP95)
	}
	fmt.Fprintln(w)
	fmt.Fprintf(w, "goodput\t%.0f tokens/s\n", r.Goodput)
	fmt.Fprintf(w, "wasted work\t%.1f%% of generated tokens\n", 100*r.WastedWork)
	fmt.Fprintf(w, "bookings\t%d with %d sends; %d ran\n", r.Bookings.Bookings, r.Bookings.Sends, r.Bookings.Ran)
	fmt.Fprintf(w, "lost\t%d\n", r.Lost)
	fmt.Fprintf(w, "doubled\t%d\n", r.DuplicateRuns)
	fmt.Fprintf(w, "foreign answers\t%d\n", r.WrongAnswers)
	fmt.Fprintf(w, "cut answers\t%d\n", r.TruncatedAnswers)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "violation\t%s\n", v)
	}
	return w.Flush()
}
