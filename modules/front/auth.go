package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/dispatch"
)

// Error codes of requests that are rejected before dispatch.
const (
	codeNoConfiguration = "no_configuration"
	codeInvalidKey      = "invalid_api_key"
	codeInvalidClass    = "invalid_class"
	codeInvalidRequest  = "invalid_request"
	codeModelNotFound   = "model_not_found"
	codeNotFound        = "not_found"
	codeTooLarge        = "request_too_large"
	codeNoEntry         = "no_entry"
)

func newError(status int, code, format string, args ...any) *dispatch.Error {
	return &dispatch.Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

const (
	// firstConfigTimeout limits how long a request waits for the daemon's first configuration. Peers
	// list a daemon in entry responses as soon as it has joined, which can be before it has loaded its
	// configuration.
	firstConfigTimeout = 5 * time.Second
	// firstConfigPollInterval is the interval between checks for the first configuration.
	firstConfigPollInterval = 20 * time.Millisecond
)

// awaitSnapshot returns the active configuration. On a daemon that has none yet it waits for up to
// firstConfigTimeout and then returns a no_configuration error with a retry delay.
func (f *Front) awaitSnapshot(ctx context.Context) (*config.Snapshot, *dispatch.Error) {
	if s := f.options.Snapshot(); s != nil {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, firstConfigTimeout)
	defer cancel()
	ticker := time.NewTicker(firstConfigPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		if s := f.options.Snapshot(); s != nil {
			return s, nil
		}
	}
	e := newError(http.StatusServiceUnavailable, codeNoConfiguration, "this daemon has no configuration yet")
	e.RetryAfter = time.Second
	return nil, e
}

// authenticate returns the workspace that the request's API key belongs to. If no workspace has keys
// configured, the workspace is taken from the HeaderWorkspace header instead.
func authenticate(s *config.Snapshot, r *http.Request) (config.Workspace, *dispatch.Error) {
	if !s.HasKeys() {
		return workspaceByName(s, r.Header.Get(HeaderWorkspace))
	}
	key, ok := bearerToken(r)
	if !ok {
		return config.Workspace{}, newError(http.StatusUnauthorized, codeInvalidKey, "send a key in the header Authorization: Bearer")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	w, found := s.WorkspaceByKeyHash(hash)
	match := 0
	for _, h := range w.KeyHashes {
		match |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	if !found || match != 1 {
		return config.Workspace{}, newError(http.StatusUnauthorized, codeInvalidKey, "the key is not known")
	}
	return w, nil
}

// workspaceByName returns the workspace with the given name. An empty name selects the only workspace
// of a configuration that has exactly one.
func workspaceByName(s *config.Snapshot, name string) (config.Workspace, *dispatch.Error) {
	if name == "" && len(s.Workspaces) == 1 {
		for _, w := range s.Workspaces {
			return w, nil
		}
	}
	w, ok := s.Workspaces[name]
	if !ok {
		return w, newError(http.StatusUnauthorized, codeInvalidKey, "no keys are configured; name a workspace in the header %s", HeaderWorkspace)
	}
	return w, nil
}

// bearerToken returns the token of the Authorization header.
func bearerToken(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// classFor returns the request's class: the one named in the HeaderClass header, else routeClass, which
// may be empty, else the workspace's default. It checks that the class is defined and that the workspace may use it.
func classFor(
	s *config.Snapshot, w config.Workspace, r *http.Request, routeClass string,
) (config.Class, *dispatch.Error) {
	name := r.Header.Get(HeaderClass)
	if name == "" {
		name = routeClass
	}
	if name == "" {
		name = w.DefaultClass
	}
	class, ok := s.Classes[name]
	if !ok {
		return class, newError(http.StatusBadRequest, codeInvalidClass, "class %q is not defined in the active preset", name)
	}
	if len(w.Classes) > 0 && !slices.Contains(w.Classes, name) {
		return class, newError(http.StatusForbidden, codeInvalidClass, "workspace %q may not use class %q", w.Name, name)
	}
	return class, nil
}
