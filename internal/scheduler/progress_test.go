package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// TestProgressNumbers guards against progress that is attributed to another attempt when the numbers of
// ended calls are reused, and against numbers that grow without limit.
func TestProgressNumbers(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	var sender progressEncoder
	receiver := progressDecoder{}
	const maxOpen = 20
	open := map[*call]bool{}
	shortMessages := 0
	for step := range 5000 {
		if len(open) < maxOpen {
			open[&call{id: policy.AttemptID{Request: fmt.Sprint("request-", step), Number: uint32(step % 3)}}] = true
		}
		sender.releaseUnused(func(k *call) bool { return open[k] })
		for k := range open {
			p := &peer.Progress{Attempt: wireAttempt(k.id)}
			sender.encode(k, p)
			if p.Attempt == nil {
				shortMessages++
			}
			if got := receiver.decode(p); attemptID(got) != k.id {
				t.Fatalf("step %d: progress of %v attributed to %v", step, k.id, got)
			}
			if rng.IntN(10) == 0 {
				delete(open, k)
			}
		}
	}
	if shortMessages == 0 || len(receiver) > maxOpen {
		t.Errorf("%d messages without an attempt, want some; %d numbers, want at most %d",
			shortMessages, len(receiver), maxOpen)
	}
	if receiver.decode(&peer.Progress{Number: maxOpen + 1}) != nil {
		t.Error("unknown number decoded to an attempt")
	}
}
