package bench

import "github.com/chivewind/chivewind/policy"

// recovery decides on retries and on requests that crash engines. It replaces the packages of the daemon
// that do this, which are not needed to compare policies.
type recovery struct {
	// crashes is the number of engine crashes by the content of the requests that ran there.
	crashes map[string]int
	// retries is the number of retries by class.
	retries map[*classSpec]int
}

// Limits of retries.
const (
	// crashLimit is the number of crashes after which a request no longer runs.
	crashLimit = 2
	// retryBudgetShare is the number of retries as a fraction of a class's requests. retryBudgetMin is added
	// so that retries are possible while few requests have arrived.
	retryBudgetShare = 0.1
	retryBudgetMin   = 10
)

func newRecovery() *recovery {
	return &recovery{crashes: map[string]int{}, retries: map[*classSpec]int{}}
}

// blocked says whether the request must not run because it was running at too many crashes.
func (r *recovery) blocked(c *call) bool { return r.crashes[c.content] >= crashLimit }

// prepareRetry says whether a call may be submitted again, and prepares it. Retries after a preemption
// are not limited.
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
