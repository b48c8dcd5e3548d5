// Package cli implements the command line of chivewind.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/internal/strictyaml"
)

// Exit codes. docs/OPERATIONS.md lists them.
const (
	ExitOK    = 0
	ExitError = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitConflict means that the configuration or the preset has changed since the revision that the change is
	// based on.
	ExitConflict = 3
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown = 4
	// ExitForbidden means that the operator's key is missing, unknown or lacks the role for the call.
	ExitForbidden = 5
	// ExitUnavailable means that a dependency of the call is unavailable, for example the key-value service; nothing
	// was changed.
	ExitUnavailable = 6
)

// app holds the context, the outputs and the global flags of all commands.
type app struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer

	output  string
	admin   string
	keyFile string
	caFile  string
}

// earlyExit is the panic value with which Parse ends early, for example after --help. It holds the exit code.
type earlyExit int

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	a := &app{ctx: ctx, stdout: stdout, stderr: stderr}
	k := a.newParser()
	defer func() {
		if r := recover(); r != nil {
			exit, ok := r.(earlyExit)
			if !ok {
				panic(r)
			}
			code = int(exit)
		}
	}()
	// Validate runs after parsing and before any action, so an earlier error is a usage error.
	parsed := false
	k.Validate(func(*kingpin.Application) error { parsed = true; return nil })
	_, err := k.Parse(args)
	if err != nil && !parsed {
		fmt.Fprintf(stderr, "chivewind: %v; see chivewind --help\n", err)
		return ExitUsage
	}
	return a.reportError(err)
}

func (a *app) newParser() *kingpin.Application {
	k := kingpin.New("chivewind", "A router for language-model traffic with service levels and priorities.")
	k.UsageWriter(a.stdout).ErrorWriter(a.stderr)
	k.Terminate(func(code int) { panic(earlyExit(code)) })
	k.HelpFlag.Short('h')
	k.Flag("output", "Output form: table or json.").Short('o').Default("table").EnumVar(&a.output, "table", "json")
	k.Flag("admin", "Address of a daemon's administration API.").Envar("CHIVEWIND_ADMIN").Default("http://127.0.0.1:7001").StringVar(&a.admin)
	k.Flag("key-file", "File with the operator's key.").Envar("CHIVEWIND_KEY_FILE").StringVar(&a.keyFile)
	k.Flag("ca-file", "File with the certificate authority of the administration API.").Envar("CHIVEWIND_CA_FILE").StringVar(&a.caFile)
	for _, add := range []func(*kingpin.Application){
		a.addServe, a.addEntry, a.addExplain, a.addWhere, a.addCheck, a.addPreset, a.addConfig, a.addStatus, a.addEndpoints, a.addAudit,
		a.addSettle, a.addBench, a.addDemo, a.addStandin, a.addVersion,
	} {
		add(k)
	}
	return k
}

// reportError prints an error and advice in one line, or one line per problem of a file, and returns the exit
// code.
func (a *app) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		fmt.Fprintln(a.stderr, problems.Error())
		return ExitError
	}
	code, advice := ExitError, ""
	var apiErr *adminapi.Error
	if errors.As(err, &apiErr) {
		code, advice = apiExit(apiErr)
	}
	message := strings.ReplaceAll(err.Error(), "\n", "; ")
	fmt.Fprintf(a.stderr, "chivewind: %s%s\n", message, advice)
	return code
}

// apiExit returns the exit code and the advice for an error of the administration API.
func apiExit(e *adminapi.Error) (int, string) {
	switch e.Code {
	case adminapi.CodeConflict:
		return ExitConflict, fmt.Sprintf("; seen revision %d, current revision %d: look at `preset show` and try again", e.ExpectedRevision, e.CurrentRevision)
	case adminapi.CodeUnknown:
		return ExitUnknown, fmt.Sprintf("; ask again with `config attempt %s`", e.AttemptID)
	case adminapi.CodeForbidden:
		return ExitForbidden, "; use a key with the role that the call needs"
	case adminapi.CodeUnavailable:
		return ExitUnavailable, "; nothing was changed, try again when the key-value service is back"
	}
	return ExitError, ""
}

// client returns a client for the administration API.
func (a *app) client() (*adminapi.Client, error) {
	c := &adminapi.Client{Base: a.admin}
	if a.keyFile != "" {
		raw, err := os.ReadFile(a.keyFile)
		if err != nil {
			return nil, fmt.Errorf("read the operator's key: %w", err)
		}
		c.Key = strings.TrimSpace(string(raw))
	}
	if a.caFile != "" {
		tlsConfig, err := clientTLS(a.caFile)
		if err != nil {
			return nil, err
		}
		c.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig}}
	}
	return c, nil
}

// get sends a GET request to a path of the administration API and decodes the response into out.
func (a *app) get(path string, out any) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	return c.Get(a.ctx, path, out)
}

// print writes v as JSON or calls table to write it as a table, depending on --output.
func (a *app) print(v any, table func(*tableWriter)) error {
	if a.output == "json" {
		return json.NewEncoder(a.stdout).Encode(v)
	}
	w := newTable(a.stdout)
	table(w)
	return w.flush()
}
