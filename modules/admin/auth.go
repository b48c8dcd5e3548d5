package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
)

// anonymousOperator is the operator name used if no operators are configured. Clients on the same host then have the
// role edit, so that the first operators can be configured. TLS does not authenticate clients of other hosts, so they
// have no role unless Options.AllowAnonymous is set.
const anonymousOperator = "anonymous"

// operatorKey is the context key of the authenticated operator.
type operatorKey struct{}

// operatorOf returns the authenticated operator of a request.
func operatorOf(r *http.Request) config.Operator {
	o, _ := r.Context().Value(operatorKey{}).(config.Operator)
	return o
}

// roleRank orders the roles. Each role includes the permissions of those with a lower rank.
var roleRank = map[config.Role]int{config.RoleRead: 1, config.RoleSwitch: 2, config.RoleEdit: 3}

// require wraps next so that it only runs for operators with at least the given role.
func (s *Server) require(role config.Role, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := s.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.refuse(w, r, http.StatusUnauthorized, "the operator's key is missing or unknown")
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator))
		if roleRank[operator.Role] < roleRank[role] {
			s.refuse(w, r, http.StatusForbidden, "the call needs the role "+string(role)+"; operator "+operator.Name+" has "+string(operator.Role))
			return
		}
		next(w, r)
	}
}

// refuse rejects an unauthorized call with an error response and counts it. Calls that would change
// something are also logged.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, message string) {
	s.refused.Inc(1)
	if r.Method != http.MethodGet {
		s.logRefused(r, message)
	}
	// Only authenticated operators get an audit entry: a client without a valid key must not be able to
	// cause writes to the key-value service.
	if requester := actor(r); r.Method != http.MethodGet && requester.Name != "" {
		s.store.AuditDenied(r.Context(), requester, r.Method+" "+r.URL.Path, message)
	}
	writeError(w, status, &adminapi.Error{Code: adminapi.CodeForbidden, Message: message})
}

// authenticate returns the operator that the request's key belongs to. It compares all hashes, each in
// constant time, so that the response time reveals nothing about the keys.
func (s *Server) authenticate(r *http.Request) (config.Operator, bool) {
	var operators []config.Operator
	if snapshot := s.store.Snapshot(); snapshot != nil {
		operators = snapshot.Config.Operators
	}
	if len(operators) == 0 {
		return config.Operator{Name: anonymousOperator, Role: config.RoleEdit}, s.allowAnonymous || isLoopback(r.RemoteAddr)
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

// isLoopback reports whether a client's address (IP:port) is on this host.
func isLoopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().Unmap().IsLoopback()
}
