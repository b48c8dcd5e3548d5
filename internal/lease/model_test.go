package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/standin/kv"
)

// event is one step of a random scenario.
type event struct {
	after  time.Duration
	kind   string
	daemon int
	// nth selects which of the daemon's next writes a fault hits.
	nth int
	// length is how long a fault lasts.
	length time.Duration
}

var eventGenerator = rapid.Custom(func(t *rapid.T) event {
	return event{
		after: time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
		kind: rapid.SampledFrom([]string{
			"acquire", "acquire", "acquire", "release", "close", "lose reply", "lose request", "late write", "late reply", "slow", "cut off",
		}).Draw(t, "kind"),
		daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
		nth:    rapid.IntRange(1, 3).Draw(t, "nth"),
		length: time.Duration(rapid.IntRange(1, 40).Draw(t, "length")) * time.Second / 2,
	}
})

// acquisitions are the successful acquisitions of all daemons.
type acquisitions struct {
	mu      sync.Mutex
	holders []*HeldRole
	// tokens counts the acquisitions by fencing token.
	tokens map[int64]int
	// violation describes the first violation, "" if there is none.
	violation string
}

func (c *acquisitions) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

func (c *acquisitions) add(h *HeldRole) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders = append(c.holders, h)
	c.tokens[h.Token()]++
}

// validTokens returns the tokens of the roles that are valid now.
func (c *acquisitions) validTokens() (tokens []int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.holders {
		if h.Valid(time.Now()) {
			tokens = append(tokens, h.Token())
		}
	}
	return tokens
}

// last returns the latest role acquired by a session, nil if there is none.
func (c *acquisitions) last(s *Session) *HeldRole {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.holders) - 1; i >= 0; i-- {
		if c.holders[i].session == s {
			return c.holders[i]
		}
	}
	return nil
}

// scenario runs the events on three daemons in virtual time and returns the first violation.
func scenario(t *testing.T, events []event) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := kv.NewStore()
		acquired := &acquisitions{tokens: map[int64]int{}}
		var daemons []*daemon
		for i := range 3 {
			client := kv.NewClient(store)
			d := &daemon{New(client, fmt.Sprint(i), testTTL, hclog.NewNullLogger()), client}
			defer clustertest.Start(ctx, d.Run)()
			daemons = append(daemons, d)
		}
		var running sync.WaitGroup
		running.Go(func() {
			for ctx.Err() == nil {
				if tokens := acquired.validTokens(); len(tokens) > 1 {
					acquired.addViolation("tokens %v are valid at the same time", tokens)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		for _, e := range events {
			time.Sleep(e.after)
			step(ctx, &running, acquired, daemons[e.daemon], e)
		}
		// Once all faults have ended, the role must be free or have one valid holder.
		time.Sleep(2 * time.Minute)
		for _, d := range daemons {
			d.kv.Reset()
			d.Close(ctx)
		}
		time.Sleep(2 * testTTL)
		if h, err := daemons[0].Acquire(ctx, role); err != nil {
			acquired.addViolation("the role cannot be acquired after all faults have ended: %v", err)
		} else {
			acquired.add(h)
		}
		cancel()
		running.Wait()
		for token, n := range acquired.tokens {
			if n > 1 {
				acquired.addViolation("token %d was issued %d times", token, n)
			}
		}
		violation = acquired.violation
		time.Sleep(time.Hour) // Delayed calls end within this time.
	})
	return violation
}

func step(ctx context.Context, running *sync.WaitGroup, acquired *acquisitions, d *daemon, e event) {
	if fault, ok := kv.WriteFault(e.kind, e.length); ok {
		d.kv.InjectWriteFault(e.nth, fault)
		return
	}
	switch e.kind {
	case "acquire":
		running.Go(func() {
			if h, err := d.Acquire(ctx, role); err == nil {
				acquired.add(h)
			}
		})
	case "release":
		if h := acquired.last(d.Session); h != nil {
			running.Go(func() { h.Release(ctx) })
		}
	case "close":
		running.Go(func() { d.Close(ctx) })
	case "slow", "cut off":
		if e.kind == "slow" {
			d.kv.SetDelay(e.length / 8)
		} else {
			d.kv.SetHang(true)
		}
		running.Go(func() {
			time.Sleep(e.length)
			d.kv.SetDelay(0)
			d.kv.SetHang(false)
		})
	}
}

// TestModel guards against two valid holders of a role and against a fencing token that is issued twice.
// It runs random acquisitions and releases of three daemons with lost replies, late writes and cut
// connections. rapid prints the seed of a failure.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(eventGenerator, 1, 60).Draw(rt, "events")
		if violation := scenario(t, events); violation != "" {
			rt.Fatal(violation)
		}
	})
}
