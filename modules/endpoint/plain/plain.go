// Package plain sends attempts to plain HTTP services. Method, path, query, body and headers of the request are
// forwarded unchanged, except that hop-by-hop headers and the headers Expect and Authorization are removed, and
// that the request ID and the workspace are set. Status, headers and body of the response are passed to the sink.
package plain

import (
	"bytes"
	"context"
	"net/http"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/httpclient"
)

func init() { chivewind.Register(&Kind{}) }

// Kind is the module endpoint.plain.
type Kind struct {
	client *httpclient.Client
}

var (
	_ chivewind.Module      = (*Kind)(nil)
	_ chivewind.Provisioner = (*Kind)(nil)
	_ endpoint.Kind         = (*Kind)(nil)
)

// New returns a Kind that is ready for use without Provision.
func New() *Kind { return &Kind{client: httpclient.New()} }

// ModuleInfo implements chivewind.Module.
func (*Kind) ModuleInfo() chivewind.ModuleInfo {
	return chivewind.ModuleInfo{ID: "endpoint.plain", New: func() chivewind.Module { return &Kind{} }}
}

// Provision implements chivewind.Provisioner.
func (k *Kind) Provision(*chivewind.Context) error {
	k.client = httpclient.New()
	return nil
}

// Do implements endpoint.Kind. An attempt that must not be repeated, or that is itself a retry, uses a new
// connection, since a pooled one may be unresponsive or already closed by the service.
func (k *Kind) Do(ctx context.Context, a *endpoint.Attempt, s endpoint.Sink) endpoint.Result {
	target := a.Endpoint.URL + a.Request.Path
	if a.Request.RawQuery != "" {
		target += "?" + a.Request.RawQuery
	}
	req, err := http.NewRequest(a.Request.Method, target, bytes.NewReader(a.Request.Body))
	if err != nil {
		return endpoint.Result{Err: err}
	}
	if len(a.Request.Body) == 0 {
		req.Body = nil
	}
	endpoint.CopyHeader(req.Header, a.Request.Header)
	req.Header.Del("Authorization")
	if req.Header.Get("User-Agent") == "" {
		// An empty value keeps the transport from adding its default User-Agent.
		req.Header.Set("User-Agent", "")
	}
	req.Header.Set(endpoint.HeaderRequestID, a.Request.ID)
	req.Header.Set(endpoint.HeaderWorkspace, a.Request.Workspace)
	t, r := endpoint.StartTransfer(ctx, k.client, req, a, a.Request.NonIdempotent || a.Number > 1 || !endpoint.IsIdempotent(a.Request.Method))
	if t == nil {
		return r
	}
	defer t.Close()
	return t.CopyBody(s)
}
