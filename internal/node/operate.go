package node

import (
	"context"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/internal/configstore"
	"github.com/chivewind/chivewind/internal/ledger"
	"github.com/chivewind/chivewind/peer"
)

// Settle records an operator's decision whether a non-idempotent request with an unknown outcome ran. The
// ledger record keeps the operator's name and address.
func (n *Node) Settle(ctx context.Context, who configstore.Actor, req adminapi.SettleRequest) error {
	state := peer.LedgerRecord_STATE_NOT_RUN
	if req.Ran {
		state = peer.LedgerRecord_STATE_DONE
	}
	key := ledger.Key(req.Workspace, req.Route, req.IdempotencyKey)
	reply, err := n.ledger.Settle(ctx, who.Name, who.Address, key, &peer.LedgerRecord{State: state, FinishedUnixMs: time.Now().UnixMilli()})
	if err != nil {
		return oops.With("step", "settle").Wrap(err)
	}
	if reply.Result != peer.LedgerReply_RESULT_DONE {
		return oops.With("step", "settle").Errorf("the record was not changed: %s", settleFailure(reply.Result))
	}
	n.log.Info("request settled", "operator", who.Name, "workspace", req.Workspace, "route", req.Route, "ran", req.Ran)
	return nil
}

// Settlements returns at most limit audit entries of settled requests, newest first.
func (n *Node) Settlements(ctx context.Context, limit int) ([]adminapi.AuditEntry, error) {
	settlements, err := n.ledger.Settlements(ctx, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]adminapi.AuditEntry, 0, len(settlements))
	for _, s := range settlements {
		// Ledger.Settle records the operator as "NAME from ADDRESS".
		operator, source, _ := strings.Cut(s.Operator, " from ")
		entries = append(entries, adminapi.AuditEntry{
			Time: s.Time, Operator: operator, Source: source, Action: "settle", Outcome: string(configstore.Accepted),
			AttemptID: s.RequestID, From: s.From, To: s.To, Message: "ledger key " + s.Key,
		})
	}
	return entries, nil
}

// settleFailure describes why a ledger record was not settled.
func settleFailure(r peer.LedgerReply_Result) string {
	switch r {
	case peer.LedgerReply_RESULT_ABSENT:
		return "no request with this workspace, route and key is recorded"
	case peer.LedgerReply_RESULT_EXISTS:
		return "the request has an outcome, or began less than a minute ago and may still run"
	case peer.LedgerReply_RESULT_UNAVAILABLE, peer.LedgerReply_RESULT_NOT_OWNER:
		return "the key-value service or the partition's owner gives no answer"
	}
	return r.String()
}

// sampleInterval is the time between samples of the process's resource use.
const sampleInterval = 5 * time.Second

// sampleProcess updates the gauges of the process's heap, goroutines, CPU time and requests in progress
// until ctx is done.
func (n *Node) sampleProcess(ctx context.Context) error {
	heap := metrics.GetOrRegisterGauge("chivewind_process_heap_bytes", n.metrics)
	goroutines := metrics.GetOrRegisterGauge("chivewind_process_goroutines", n.metrics)
	cpu := metrics.GetOrRegisterGaugeFloat64("chivewind_process_cpu_seconds", n.metrics)
	requests := metrics.GetOrRegisterGauge("chivewind_requests_in_progress", n.metrics)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		heap.Update(int64(m.HeapAlloc))
		goroutines.Update(int64(runtime.NumGoroutine()))
		requests.Update(int64(n.front.InFlight()))
		var u syscall.Rusage
		if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
			cpu.Update(time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
