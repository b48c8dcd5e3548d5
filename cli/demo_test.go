package cli

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/chivewind/chivewind/internal/demo"
)

// TestDemo guards against a demonstration that loses a request, runs a booking twice, answers with another
// request's text, or reports no requests for a class.
func TestDemo(t *testing.T) {
	code, stdout, stderr := run("demo", "--duration", "2s", "--seed", "7", "-o", "json")
	if code != ExitOK {
		t.Fatalf("exit code %d: %s", code, stderr)
	}
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	var r demo.Report
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &r); err != nil {
		t.Fatal(err)
	}
	if r.Lost != 0 || r.DuplicateRuns != 0 || r.WrongAnswers != 0 || r.TruncatedAnswers != 0 || len(r.Violations) != 0 {
		t.Errorf("seed %d: violations %v", r.Seed, r.Violations)
	}
	for _, class := range []string{"quick", "notes", "long"} {
		if r.Classes[class].Requests == 0 {
			t.Errorf("seed %d: no requests of class %s", r.Seed, class)
		}
	}
	if r.Bookings.Ran == 0 || r.Bookings.Sends <= r.Bookings.Bookings || r.Goodput == 0 {
		t.Errorf("seed %d: bookings %+v, goodput %v", r.Seed, r.Bookings, r.Goodput)
	}
}

// TestDemoDuration guards against a duration that is too short for the burst and the crash.
func TestDemoDuration(t *testing.T) {
	if code, _, stderr := run("demo", "--duration", "10ms"); code != ExitError || !strings.Contains(stderr, "too short") {
		t.Errorf("exit code %d, stderr %q", code, stderr)
	}
}
