package bench

import "github.com/chivewind/chivewind/policy"

// recovery has the driver's rules for retries and for requests that crash engines. It stands in
// for the daemon's own packages, which are not needed to compare policies.
type recovery struct {
	// crashes counts engine crashes by the content of the requests that ran there.
	crashes map[string]int
	retries map[*classSpec]int
}

// Limits of retries.
const (
	// crashLimit is the number of crashes after which a request is stopped.
	crashLimit = 2
	// retryBudgetShare is the retry budget as a share of a class's requests; retryLeast allows retries
	// while few requests have arrived.
	retryBudgetShare = 0.1
	retryBudgetMin   = 10
)

func newRecovery() *recovery {
	return &recovery{crashes: map[string]int{}, retries: map[*classSpec]int{}}
}

// blocked says whether the request must not run, because it was there at two crashes.
func (r *recovery) blocked(c *call) bool { return r.crashes[c.content] >= crashLimit }

// prepareRetry decides whether a call gets another attempt and prepares it.
func (r *recovery) prepareRetry(c *call, outcome policy.Outcome, offered int) bool {
	if outcome == policy.Preempted {
		c.wasPreempted = true
		return true
	}
	if outcome == policy.Crashed {
		r.crashes[c.content]++
		c.suspect = true
	}
	if r.blocked(c) || r.retries[c.class] >= retryBudgetMin+int(retryBudgetShare*float64(offered)) {
		return false
	}
	r.retries[c.class]++
	c.avoid = append(c.avoid, c.endpoint.id)
	c.avoidZone = c.endpoint.zone
	return true
}
