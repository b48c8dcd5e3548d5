package admin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/chivewind/chivewind/internal/configstore"
)

// attemptStore answers Attempt with an error.
type attemptStore struct {
	Store
	err error
}

// Attempt implements Store.
func (s attemptStore) Attempt(context.Context, string) (configstore.Result, error) {
	return configstore.Result{}, s.err
}

// TestAttemptErrors guards against advice to wait for the key-value service after a mistyped id, and
// against "nothing was changed" while nobody knows.
func TestAttemptErrors(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		err    error
		status int
	}{
		{desc: "mistyped id", err: configstore.ErrAttemptID, status: http.StatusBadRequest},
		{desc: "service down", err: errors.New("no answer"), status: http.StatusGatewayTimeout},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			w := httptest.NewRecorder()
			s := &Server{store: attemptStore{err: tc.err}}
			s.getAttempt(w, httptest.NewRequest(http.MethodGet, "/admin/v1/attempts/x", nil))
			if w.Code != tc.status {
				t.Errorf("status %d, want %d", w.Code, tc.status)
			}
		})
	}
}
