package cli

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/chivewind/chivewind/internal/bench"
	_ "github.com/chivewind/chivewind/modules/standard"
)

// TestBenchJSON guards against a last output line that is not a JSON result, and against an ablation that
// has no effect.
func TestBenchJSON(t *testing.T) {
	code, stdout, stderr := run("bench", "--scenario", "burst", "--deployment", "almaty", "--seed", "7", "--seeds", "1",
		"--policies", "tiered", "--ablation", "late", "-o", "json")
	if code != ExitOK || stderr != "" {
		t.Fatalf("exit code %d, stderr %q", code, stderr)
	}
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	var result bench.Result
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &result); err != nil {
		t.Fatal(err)
	}
	with, without := result.Policies["tiered"], result.Policies["tiered-late"]
	if with.Goodput == 0 || len(with.Classes) == 0 || with.Goodput == without.Goodput {
		t.Errorf("goodput %v with and %v without the treatment of late requests", with.Goodput, without.Goodput)
	}
}

// TestBenchUsage guards against a benchmark that accepts an unknown name or no seeds.
func TestBenchUsage(t *testing.T) {
	for _, tc := range []struct {
		desc string
		args []string
		code int
	}{
		{desc: "scenario", args: []string{"--scenario", "burts"}, code: ExitUsage},
		{desc: "policy", args: []string{"--policies", "tierd"}, code: ExitError},
		{desc: "mechanism", args: []string{"--ablation", "afinity"}, code: ExitError},
		{desc: "seeds", args: []string{"--seeds", "0"}, code: ExitError},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			if code, _, stderr := run(append([]string{"bench"}, tc.args...)...); code != tc.code || stderr == "" {
				t.Errorf("exit code %d and stderr %q, want %d and a message", code, stderr, tc.code)
			}
		})
	}
}
