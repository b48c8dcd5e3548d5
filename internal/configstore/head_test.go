package configstore

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/chivewind/chivewind/config"
)

// TestDecodePartsReusesWorkspaces guards against a decoded configuration that contains stale workspaces of
// an earlier revision: after random changes, decoding with reuse must give the same result as decoding all
// parts.
func TestDecodePartsReusesWorkspaces(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	var last *decodedConfig
	var snapshot *config.Snapshot
	c := testConfig()
	var h head
	for step := range 200 {
		changeWorkspaces(rng, c)
		parts, err := encodeParts(c, nil)
		if err != nil {
			t.Fatal(err)
		}
		h, _, _ = h.successor(h.Revision+1, c.Preset, fmt.Sprint(step), parts)
		got, err := h.decodeParts(parts, last)
		if err != nil {
			t.Fatal(err)
		}
		want, err := h.decodeParts(parts, nil)
		if err != nil {
			t.Fatal(err)
		}
		if !equalJSON(got, want) {
			t.Fatalf("step %d: got %s\nwant %s", step, toJSON(got), toJSON(want))
		}
		fresh, err := config.NewSnapshot(h.Revision, want)
		if err != nil {
			t.Fatal(err)
		}
		if snapshot, err = snapshot.Next(h.Revision, got); err != nil {
			t.Fatal(err)
		}
		if !equalJSON(snapshot.Workspaces, fresh.Workspaces) || snapshot.HasKeys() != fresh.HasKeys() {
			t.Fatalf("step %d: index has %d workspaces, want %d", step, len(snapshot.Workspaces), len(fresh.Workspaces))
		}
		last = &decodedConfig{parts: h.Parts, config: got}
	}
}

// changeWorkspaces switches the preset, or adds, removes or changes a few workspaces.
func changeWorkspaces(rng *rand.Rand, c *config.Config) {
	if rng.IntN(3) == 0 {
		c.Preset = c.Presets[rng.IntN(len(c.Presets))].Name
		return
	}
	for range 1 + rng.IntN(5) {
		name := fmt.Sprintf("w%d", rng.IntN(300))
		remaining := []config.Workspace{}
		for _, w := range c.Workspaces {
			if w.Name != name {
				remaining = append(remaining, w)
			}
		}
		if rng.IntN(3) > 0 {
			remaining = append(remaining, config.Workspace{Name: name, Weight: float64(rng.IntN(9)), KeyHashes: []string{"hash-" + name}})
		}
		c.Workspaces = remaining
	}
}
