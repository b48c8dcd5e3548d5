package cli

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/chivewind/chivewind/internal/demo"
)

// TestDemo guards against a demonstration that loses or doubles a request, answers with another
// request's text, or ends without figures for a class.
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
	if r.Lost != 0 || r.Doubled != 0 || r.Foreign != 0 || r.Cut != 0 || len(r.Violations) != 0 {
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

// TestDemoDuration guards against a load without room for the burst and the crash.
func TestDemoDuration(t *testing.T) {
	if code, _, stderr := run("demo", "--duration", "10ms"); code != ExitError || !strings.Contains(stderr, "too short") {
		t.Errorf("exit code %d, stderr %q", code, stderr)
	}
}
