package kv

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/internal/etcdjson"
	"github.com/chivewind/chivewind/internal/standin"
	"github.com/chivewind/chivewind/platform"
)

// maxRequestBytes limits a request body. It admits a transaction with several large values.
const maxRequestBytes = 64 << 20

// Paths of the stand-in's administration API.
const (
	// PathFaults takes a FaultRequest by POST.
	PathFaults = "/admin/faults"
	// PathCounters returns Counters by GET.
	PathCounters = "/admin/counters"
)

// FaultRequest sets the faults whose fields are present; Reset, which clears all faults, is applied first.
type FaultRequest struct {
	Reset       bool  `json:"reset,omitempty"`
	Down        *bool `json:"down,omitempty"`
	Hang        *bool `json:"hang,omitempty"`
	SilentWatch *bool `json:"silent_watch,omitempty"`
	// DelayMS delays each call before it takes effect, in milliseconds.
	DelayMS *int `json:"delay_ms,omitempty"`
	// Writes has the faults of later writes by their number, see Faults.InjectWriteFault.
	Writes map[int]*Fault `json:"writes,omitempty"`
	// Compact is the revision up to which the history is discarded; 0 discards nothing.
	Compact int64 `json:"compact,omitempty"`
}

// Server serves a Store over the etcd v3 JSON API. It is an http.Handler.
type Server struct {
	*Faults
	store *Store
	mux   *http.ServeMux
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server for a store.
func NewServer(s *Store) *Server {
	v := &Server{Faults: &Faults{}, store: s, mux: http.NewServeMux()}
	v.mux.HandleFunc("POST "+etcdjson.PathRange, handle(v, func(n *Counters) { n.Ranges++ }, false, v.rangeKeys))
	v.mux.HandleFunc("POST "+etcdjson.PathTxn, handle(v, func(n *Counters) { n.Txns++ }, true, v.txn))
	v.mux.HandleFunc("POST "+etcdjson.PathGrant, handle(v, func(n *Counters) { n.Grants++ }, true, v.grant))
	v.mux.HandleFunc("POST "+etcdjson.PathKeepAlive, handle(v, func(n *Counters) { n.KeepAlives++ }, false, v.keepAlive))
	v.mux.HandleFunc("POST "+etcdjson.PathRevoke, handle(v, func(n *Counters) { n.Revokes++ }, true, v.revoke))
	v.mux.HandleFunc("POST "+etcdjson.PathWatch, v.watch)
	v.mux.HandleFunc("POST "+PathFaults, v.setFaults)
	v.mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, v.Counters()) })
	return v
}

// Store returns the server's store.
func (v *Server) Store() *Store { return v.store }

// ServeHTTP implements http.Handler.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

// Listen serves on a TCP address until the returned server is closed. It also returns the bound address.
func (v *Server) Listen(address string) (*http.Server, string, error) {
	return standin.Listen(v, address)
}

// handle decodes a request, runs it with the faults injected and encodes the reply. If a fault suppresses the
// reply, the connection is aborted.
func handle[In, Out any](v *Server, count func(*Counters), write bool, run func(*In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
		if err == nil {
			err = json.Unmarshal(raw, &in)
		}
		if err != nil {
			writeError(w, &RefusedError{etcdjson.CodeInvalidArgument, err.Error()})
			return
		}
		type result struct {
			out Out
			err error
		}
		done := make(chan result, 1)
		err = v.apply(r.Context(), count, write, func() {
			out, err := run(&in)
			done <- result{out, err}
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if res := <-done; res.err != nil {
			writeError(w, res.err)
		} else {
			writeJSON(w, res.out)
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// writeError responds with the HTTP status that etcd's gRPC gateway uses for the codes InvalidArgument, OutOfRange,
// NotFound and Unavailable, and with 503 for all other codes and errors.
func writeError(w http.ResponseWriter, err error) {
	refused := &RefusedError{etcdjson.CodeUnavailable, err.Error()}
	errors.As(err, &refused)
	status := http.StatusServiceUnavailable
	switch refused.Code {
	case etcdjson.CodeInvalidArgument, etcdjson.CodeOutOfRange:
		status = http.StatusBadRequest
	case etcdjson.CodeNotFound:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(etcdjson.ErrorReply{Error: refused.Message, Code: refused.Code, Message: refused.Message})
}

func (v *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var in FaultRequest
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if in.Reset {
		v.Reset()
	}
	for value, set := range map[*bool]func(bool){in.Down: v.SetDown, in.Hang: v.SetHang, in.SilentWatch: v.SetSilentWatch} {
		if value != nil {
			set(*value)
		}
	}
	if in.DelayMS != nil {
		v.SetDelay(time.Duration(*in.DelayMS) * time.Millisecond)
	}
	for n, fault := range in.Writes {
		v.InjectWriteFault(n, *fault)
	}
	if in.Compact > 0 {
		v.store.Compact(in.Compact)
	}
	writeJSON(w, etcdjson.Empty{})
}

func (v *Server) watch(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Create == nil {
		writeError(w, &RefusedError{etcdjson.CodeInvalidArgument, "create_request is missing"})
		return
	}
	if err := v.apply(r.Context(), func(n *Counters) { n.Watches++ }, false, func() {}); err != nil {
		panic(http.ErrAbortHandler)
	}
	flush := http.NewResponseController(w)
	send := func(m *etcdjson.WatchResult) error {
		if err := json.NewEncoder(w).Encode(etcdjson.WatchReply{Result: m}); err != nil {
			return err
		}
		return flush.Flush()
	}
	if err := send(&etcdjson.WatchResult{Header: &etcdjson.Header{Revision: v.store.Revision()}, Created: true}); err != nil {
		return
	}
	prefix := string(in.Create.Key)
	err := v.store.watch(r.Context(), v.Faults, prefix, in.Create.StartRevision, func(reply platform.WatchReply) error {
		return send(watchResult(reply))
	})
	if refused, ok := errors.AsType[*RefusedError](err); ok {
		send(&etcdjson.WatchResult{
			Canceled: true, CompactRevision: v.store.oldestWatchRevision(), CancelReason: refused.Message,
			Header: &etcdjson.Header{Revision: v.store.Revision()},
		})
		return
	}
	panic(http.ErrAbortHandler)
}
