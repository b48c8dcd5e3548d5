package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// TestProgressNumbers guards against progress that is counted for another attempt, when calls begin
// and end and their numbers are given again, and against numbers that grow without end.
func TestProgressNumbers(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	var sender progressEncoder
	receiver := progressDecoder{}
	const most = 20
	open := map[*call]bool{}
	short := 0
	for step := range 5000 {
		if len(open) < most {
			open[&call{id: policy.AttemptID{Request: fmt.Sprint("request-", step), Number: uint32(step % 3)}}] = true
		}
		sender.releaseUnused(func(k *call) bool { return open[k] })
		for k := range open {
			p := &peer.Progress{Attempt: wireAttempt(k.id)}
			sender.encode(k, p)
			if p.Attempt == nil {
				short++
			}
			if got := receiver.decode(p); attemptID(got) != k.id {
				t.Fatalf("step %d: progress of %v counted for %v", step, k.id, got)
			}
			if rng.IntN(10) == 0 {
				delete(open, k)
			}
		}
	}
	if short == 0 || len(receiver) > most {
		t.Errorf("%d short messages, %d numbers; want some, and at most %d", short, len(receiver), most)
	}
	if receiver.decode(&peer.Progress{Number: most + 1}) != nil {
		t.Error("an unknown number has an attempt")
	}
}
