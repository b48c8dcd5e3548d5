package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chivewind/chivewind/internal/entry"
)

const (
	// whereTimeout limits the wait for an answer.
	whereTimeout = 5 * time.Second
	// maxWhereAnswer is the largest answer that is read, in bytes.
	maxWhereAnswer = 1 << 20
)

// whereFlags are the flags of the where command.
type whereFlags struct {
	daemon, host, path, key, pool, model, tokens, parts string
}

func (a *app) addWhere(k *kingpin.Application) {
	var f whereFlags
	cmd := k.Command("where", "Show where an entry daemon would send a request now and why, without sending it.")
	cmd.Flag("daemon", "Metrics address of the daemon, IP:PORT.").Required().StringVar(&f.daemon)
	cmd.Flag("host", "Host of the request.").Required().StringVar(&f.host)
	cmd.Flag("path", "Path of the request.").Required().StringVar(&f.path)
	cmd.Flag("key", "API key of the caller.").Envar("CHIVEWIND_CALLER_KEY").StringVar(&f.key)
	cmd.Flag("pool", "Pool of the route; the one with the largest weight by default.").StringVar(&f.pool)
	cmd.Flag("model", "Model that the caller names.").StringVar(&f.model)
	cmd.Flag("tokens", "Prompt and output tokens, PROMPT,OUTPUT.").StringVar(&f.tokens)
	cmd.Flag("parts", "Parts of the prompt, ID:TOKENS,ID:TOKENS,…; the last one is the request's own.").StringVar(&f.parts)
	cmd.Action(func(*kingpin.ParseContext) error { return a.where(&f) })
}

func (a *app) where(f *whereFlags) error {
	answer, err := askWhere(a.ctx, f)
	if err != nil {
		return err
	}
	return a.print(answer, func(t *tableWriter) { printWhere(t, answer) })
}

// askWhere asks a daemon. The key is in a header, because errors contain the URL.
func askWhere(ctx context.Context, f *whereFlags) (*entry.WhereAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	query := url.Values{}
	for name, value := range map[string]string{
		"host": f.host, "path": f.path, "pool": f.pool, "model": f.model, "tokens": f.tokens, "parts": f.parts,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	address := url.URL{Scheme: "http", Host: f.daemon, Path: strings.TrimPrefix(entry.PatternWhere, "GET "), RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, errors.New("the daemon's address is invalid")
	}
	if strings.ContainsAny(f.key, "\r\n") {
		return nil, errors.New("the key contains a line break")
	}
	if f.key != "" {
		r.Header.Set(entry.HeaderWhereKey, f.key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", f.daemon, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWhereAnswer))
	if err != nil {
		return nil, fmt.Errorf("read the answer of %s: %w", f.daemon, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered with status %d: %s", f.daemon, response.StatusCode, strings.TrimSpace(string(body)))
	}
	var answer entry.WhereAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("%s gave no usable answer: %w", f.daemon, err)
	}
	return &answer, nil
}

func printWhere(t *tableWriter, a *entry.WhereAnswer) {
	t.row("daemon", a.Daemon+", zone "+a.Zone)
	t.row("route", fmt.Sprintf("%s, class %s, tier %d", orDash(a.Route), orDash(a.Class), a.Tier))
	t.row("workspace", a.Workspace)
	pool := a.Pool
	if len(a.PoolWeights) > 1 {
		pool += ", weights:" + counts(a.PoolWeights)
	}
	t.row("pool", pool)
	t.row("decided by", a.DecidedBy)
	if a.Note != "" {
		t.row("note", a.Note)
	}
	switch {
	case a.Refusal != nil:
		t.row("result", fmt.Sprintf("refused with %d, %s, retry after %d ms", a.Refusal.Status, a.Refusal.Reason, a.Refusal.RetryAfterMs))
		t.row("", a.Refusal.Explanation)
	case a.WaitsForPrefill:
		t.row("result", "waits while "+a.Endpoint+" prefills shared parts of the prompt for another request")
	default:
		t.row("result", "sent to "+a.Endpoint)
	}
	s := &a.Sources
	reports := "no other daemons"
	if s.Daemons > 1 {
		reports = fmt.Sprintf("reports of %d of %d other daemons, three quarters of them at most %d ms old", s.Reporting, s.Daemons-1, s.ReportsMs)
	}
	t.row("relies on", fmt.Sprintf("table %d, store revision %s%s, last reply of the store %d ms ago, %s", s.TableVersion, s.StoreRevision, behind(s.Behind), s.StoreReplyMs, reports))
	printWhereEndpoints(t, a)
}

// printWhereEndpoints prints the candidates and the excluded endpoints.
func printWhereEndpoints(t *tableWriter, a *entry.WhereAnswer) {
	if len(a.Candidates) > 0 {
		t.row()
		t.row("candidate", "zone", "cost", "wait/limit ms", "prefill", "requests/slots/pace", "pending", "memory", "parts of the cost")
	}
	for _, e := range a.Candidates {
		t.row(e.ID, e.Zone, fmt.Sprintf("%.4f", e.Cost), fmt.Sprintf("%d/%s", e.WaitMs, limit(int(e.WaitLimitMs))), e.PrefillTokens,
			inProgress(&e), e.PendingPrefill, fmt.Sprintf("%d/%s", e.HeldTokens, limit(e.MemoryTokens)), costParts(&e))
	}
	if a.MoreCandidates > 0 {
		t.row(fmt.Sprintf("and %d more", a.MoreCandidates))
	}
	if len(a.ExcludedByReason) > 0 {
		t.row()
		t.row("excluded", "zone", "reason", "for ms", "requests/slots/pace", "pending", "memory")
	}
	for _, e := range a.Excluded {
		t.row(e.ID, e.Zone, e.Excluded, limit(int(e.ForMs)), inProgress(&e), e.PendingPrefill, fmt.Sprintf("%d/%s", e.HeldTokens, limit(e.MemoryTokens)))
	}
	if a.MoreExcluded > 0 {
		t.row(fmt.Sprintf("and %d more; in all:%s", a.MoreExcluded, counts(a.ExcludedByReason)))
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func behind(is bool) string {
	if is {
		return " (another daemon has a newer one)"
	}
	return ""
}

// limit returns a limit as text; 0 stands for none.
func limit(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

func inProgress(e *entry.WhereEndpoint) string {
	return fmt.Sprintf("%d/%s/%s", e.Requests, limit(e.Slots), limit(e.Pace))
}

// counts returns names with their numbers, sorted by name.
func counts(numbers map[string]int) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		fmt.Fprintf(&b, " %s=%d", name, numbers[name])
	}
	return b.String()
}

func costParts(e *entry.WhereEndpoint) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(e.CostParts)) {
		list = append(list, fmt.Sprintf("%s=%g", name, e.CostParts[name]))
	}
	if e.Full {
		list = append(list, "(full)")
	}
	return strings.Join(list, " ")
}
