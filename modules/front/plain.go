package front

import (
	"net/http"
	"slices"
	"strings"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/dispatch"
)

// plainRequest resolves a request to a plain service.
func (f *Front) plainRequest(w http.ResponseWriter, r *http.Request, b *requestBody) (*dispatch.Request, *dispatch.Error) {
	s, workspace, e := f.authenticateRequest(r)
	if e != nil {
		return nil, e
	}
	if hasDotSegment(r.URL.Path) {
		return nil, newError(http.StatusBadRequest, codeInvalidRequest, "the path has a . or .. segment")
	}
	route, ok := s.RouteFor(r.URL.Path)
	pool := s.Pools[route.Pool]
	if !ok || pool.Kind != config.KindPlain {
		return nil, newError(http.StatusNotFound, codeNotFound, "no route for %s %s", r.Method, r.URL.Path)
	}
	class, e := classFor(s, workspace, r, route.Class)
	if e != nil {
		return nil, e
	}
	body, e := f.readBody(w, r, b, claimOf(r, workspace, class, plainCopies))
	if e != nil {
		return nil, e
	}
	req := &dispatch.Request{
		Request: endpoint.Request{
			Workspace: workspace.Name, Method: r.Method, Path: r.URL.EscapedPath(), RawQuery: r.URL.RawQuery,
			Header: r.Header, Body: body,
		},
		Class: class, Pool: pool, Route: route.Path,
	}
	setIdempotencyKey(req, r)
	if slices.Contains(route.NonIdempotent, r.Method) && req.IdempotencyKey == "" {
		return nil, newError(http.StatusBadRequest, codeInvalidRequest, "%s %s runs at most once; send an %s", r.Method, route.Path, HeaderIdempotencyKey)
	}
	return req, nil
}

// hasDotSegment reports whether the path has a . or .. segment, which a service could resolve to the path
// of another route.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
