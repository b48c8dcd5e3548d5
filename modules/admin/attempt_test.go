package admin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/chivewind/chivewind/internal/configstore"
)

// attemptStore is a Store whose Attempt returns a fixed error.
type attemptStore struct {
	Store
	err error
}

// Attempt implements Store.
func (s attemptStore) Attempt(context.Context, string) (configstore.Result, error) {
	return configstore.Result{}, s.err
}

// TestAttemptErrors guards against reporting a mistyped attempt id as a failure of the key-value service,
// and against reporting that nothing was changed while the outcome is unknown.
func TestAttemptErrors(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		err    error
		status int
	}{
		{desc: "mistyped id", err: configstore.ErrMalformedAttemptID, status: http.StatusBadRequest},
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
