package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
)

// anonymous names the operator of a system without operators; such a system is reachable only on
// loopback or with the setting insecure.
const anonymous = "anonymous"

// operatorKey is the context key of the authenticated operator.
type operatorKey struct{}

// operatorOf returns the operator of a request.
func operatorOf(r *http.Request) config.Operator {
	o, _ := r.Context().Value(operatorKey{}).(config.Operator)
	return o
}

// rank orders the roles; each includes the ones before it.
var rank = map[config.Role]int{config.RoleRead: 1, config.RoleSwitch: 2, config.RoleEdit: 3}

// require lets a request through when the operator has at least the role.
func (s *Server) require(role config.Role, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := s.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.refuse(w, r, http.StatusUnauthorized, "the operator's key is missing or unknown")
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator))
		if rank[operator.Role] < rank[role] {
			s.refuse(w, r, http.StatusForbidden, "the call needs the role "+string(role)+"; operator "+operator.Name+" has "+string(operator.Role))
			return
		}
		next(w, r)
	}
}

// refuse answers a call without the right to it, and counts it.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, message string) {
	s.refused.Inc(1)
	if r.Method != http.MethodGet {
		s.logRefused(r, message)
	}
	// A caller without a known key cannot write to the key-value service.
	if who := actor(r); r.Method != http.MethodGet && who.Name != "" {
		s.store.AuditDenied(r.Context(), who, r.Method+" "+r.URL.Path, message)
	}
	writeError(w, status, &adminapi.Error{Code: adminapi.CodeForbidden, Message: message})
}

// authenticate finds the operator of the request's key. All hashes are compared, each in constant
// time, so that the time of an answer tells nothing about the keys.
func (s *Server) authenticate(r *http.Request) (config.Operator, bool) {
	var operators []config.Operator
	if snapshot := s.store.Snapshot(); snapshot != nil {
		operators = snapshot.Config.Operators
	}
	if len(operators) == 0 {
		return config.Operator{Name: anonymous, Role: config.RoleEdit}, true
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found config.Operator
	ok := false
	for _, o := range operators {
		if subtle.ConstantTimeCompare(hash, []byte(o.KeyHash)) == 1 {
			found, ok = o, true
		}
	}
	return found, ok
}
