package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run calls Main and returns the exit code, standard output and standard error.
func run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestExitCodes guards against exit codes from which a script cannot tell success, a usage error and another
// error apart.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	if err := os.WriteFile(bad, []byte("zone: a\nlisen: {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		desc   string
		args   []string
		code   int
		stderr string
	}{
		{desc: "version", args: []string{"version"}, code: ExitOK},
		{desc: "help", args: []string{"--help"}, code: ExitOK},
		{desc: "unknown command", args: []string{"frobnicate"}, code: ExitUsage, stderr: "--help"},
		{desc: "missing file", args: []string{"check", filepath.Join(dir, "none.yaml")}, code: ExitError, stderr: "none.yaml"},
		{desc: "misspelt key", args: []string{"check", bad}, code: ExitError, stderr: `bad.yaml:2: lisen: unknown key "lisen"`},
		{desc: "no daemon", args: []string{"--admin", "http://127.0.0.1:1", "status"}, code: ExitError, stderr: "administration API"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			code, _, stderr := run(tc.args...)
			if code != tc.code || !strings.Contains(stderr, tc.stderr) {
				t.Errorf("exit code %d and stderr %q, want %d and %q", code, stderr, tc.code, tc.stderr)
			}
		})
	}
}

// TestTableLines guards against a line break in a cell that breaks the columns of a table.
func TestTableLines(t *testing.T) {
	var out bytes.Buffer
	w := newTable(&out)
	w.row("a", "peer unreachable\nconnection refused", "")
	if err := w.flush(); err != nil {
		t.Fatal(err)
	}
	if want := "a  peer unreachable; connection refused  -\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}
