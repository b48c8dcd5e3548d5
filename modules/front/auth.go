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

// Codes of errors found before a request is dispatched.
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

func refusal(status int, code, format string, args ...any) *dispatch.Error {
	return &dispatch.Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

const (
	// configurationWait bounds the wait of a request for the daemon's first configuration. Peers name
	// a daemon to callers as soon as it has joined, which can be before it has its configuration.
	configurationWait = 5 * time.Second
	// configurationPoll is the time between two looks at it.
	configurationPoll = 20 * time.Millisecond
)

// snapshot returns the configuration in force. A daemon that has just started waits for it.
func (f *Front) snapshot(ctx context.Context) (*config.Snapshot, *dispatch.Error) {
	if s := f.o.Snapshot(); s != nil {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, configurationWait)
	defer cancel()
	ticker := time.NewTicker(configurationPoll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		if s := f.o.Snapshot(); s != nil {
			return s, nil
		}
	}
	e := refusal(http.StatusServiceUnavailable, codeNoConfiguration, "this daemon has no configuration yet")
	e.RetryAfter = time.Second
	return nil, e
}

// authenticate returns the workspace of the caller's key. Without any keys in the configuration, a
// header names the workspace.
func authenticate(s *config.Snapshot, r *http.Request) (config.Workspace, *dispatch.Error) {
	if !s.HasKeys() {
		return named(s, r.Header.Get(HeaderWorkspace))
	}
	key, ok := bearer(r)
	if !ok {
		return config.Workspace{}, refusal(http.StatusUnauthorized, codeInvalidKey, "send a key in the header Authorization: Bearer")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	w, found := s.WorkspaceByKeyHash(hash)
	match := 0
	for _, h := range w.KeyHashes {
		match |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	if !found || match != 1 {
		return config.Workspace{}, refusal(http.StatusUnauthorized, codeInvalidKey, "the key is not known")
	}
	return w, nil
}

func named(s *config.Snapshot, name string) (config.Workspace, *dispatch.Error) {
	if name == "" && len(s.Workspaces) == 1 {
		for _, w := range s.Workspaces {
			return w, nil
		}
	}
	w, ok := s.Workspaces[name]
	if !ok {
		return w, refusal(http.StatusUnauthorized, codeInvalidKey, "no keys are configured; name a workspace in the header %s", HeaderWorkspace)
	}
	return w, nil
}

func bearer(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// classFor returns the request's class: the caller's, the route's or the workspace's default.
func classFor(s *config.Snapshot, w config.Workspace, r *http.Request, route string) (config.Class, *dispatch.Error) {
	name := r.Header.Get(HeaderClass)
	if name == "" {
		name = route
	}
	if name == "" {
		name = w.DefaultClass
	}
	class, ok := s.Classes[name]
	if !ok {
		return class, refusal(http.StatusBadRequest, codeInvalidClass, "class %q is not defined in the active preset", name)
	}
	if len(w.Classes) > 0 && !slices.Contains(w.Classes, name) {
		return class, refusal(http.StatusForbidden, codeInvalidClass, "workspace %q may not use class %q", w.Name, name)
	}
	return class, nil
}
