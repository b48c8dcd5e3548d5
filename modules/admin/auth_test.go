package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/configstore"
)

// authStore is a Store with fixed operators that records the operators of denied changes.
type authStore struct {
	Store
	operators []config.Operator
	denied    []string
}

// Snapshot implements Store.
func (s *authStore) Snapshot() *config.Snapshot {
	return &config.Snapshot{Revision: 1, Config: &config.Config{Operators: s.operators}}
}

// AuditDenied implements Store.
func (s *authStore) AuditDenied(_ context.Context, who configstore.Actor, _, _ string) {
	s.denied = append(s.denied, who.Name)
}

// TestRoles guards against operators who can do more than their role allows, against changes that are
// denied without an audit entry, and against clients without a valid key that can write audit entries.
func TestRoles(t *testing.T) {
	hash := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	store := &authStore{operators: []config.Operator{
		{Name: "reader", KeyHash: hash("r"), Role: config.RoleRead},
		{Name: "switcher", KeyHash: hash("s"), Role: config.RoleSwitch},
		{Name: "editor", KeyHash: hash("e"), Role: config.RoleEdit},
	}}
	s := New(Options{Store: store, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
	for _, tc := range []struct {
		desc, key, method, path string
		status                  int
		denied                  string
	}{
		{"no key reads", "", http.MethodGet, "/admin/v1/config", http.StatusUnauthorized, ""},
		{"no key switches", "", http.MethodPost, "/admin/v1/switch", http.StatusUnauthorized, ""},
		{"unknown key edits", "x", http.MethodPut, "/admin/v1/config", http.StatusUnauthorized, ""},
		{"reader reads", "r", http.MethodGet, "/admin/v1/config", http.StatusOK, ""},
		{"reader switches", "r", http.MethodPost, "/admin/v1/switch", http.StatusForbidden, "reader"},
		// The status 400 for the empty body shows that the role check has passed.
		{"switcher switches", "s", http.MethodPost, "/admin/v1/switch", http.StatusBadRequest, ""},
		{"switcher edits", "s", http.MethodPut, "/admin/v1/config", http.StatusForbidden, "switcher"},
		{"editor edits", "e", http.MethodPut, "/admin/v1/config", http.StatusBadRequest, ""},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			store.denied = nil
			r := httptest.NewRequest(tc.method, tc.path, nil)
			r.Header.Set("Authorization", "Bearer "+tc.key)
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			if w.Code != tc.status {
				t.Errorf("status %d, want %d: %s", w.Code, tc.status, w.Body)
			}
			if got := len(store.denied) > 0; got != (tc.denied != "") || got && store.denied[0] != tc.denied {
				t.Errorf("denied %v, want %q", store.denied, tc.denied)
			}
		})
	}
}

// TestNoOperators guards against a daemon without operators that lets every host which reaches it change the
// configuration.
func TestNoOperators(t *testing.T) {
	for _, c := range []struct {
		address        string
		allowAnonymous bool
		want           int
	}{
		{"127.0.0.1:4000", false, http.StatusBadRequest},
		{"[::1]:4000", false, http.StatusBadRequest},
		{"[::ffff:127.0.0.1]:4000", false, http.StatusBadRequest},
		{"192.0.2.7:4000", false, http.StatusUnauthorized},
		{"192.0.2.7:4000", true, http.StatusBadRequest},
		{"malformed", false, http.StatusUnauthorized},
	} {
		s := New(Options{Store: &authStore{}, AllowAnonymous: c.allowAnonymous, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
		r := httptest.NewRequest(http.MethodPost, "/admin/v1/switch", nil)
		r.RemoteAddr = c.address
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		// The status 400 for the empty body shows that the role check has passed.
		if w.Code != c.want {
			t.Errorf("%s, anonymous allowed %v: status %d, want %d", c.address, c.allowAnonymous, w.Code, c.want)
		}
	}
}
