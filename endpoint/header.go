package endpoint

import (
	"net/http"
	"net/textproto"
	"strings"
)

// HeaderWorkspace carries the name of the workspace in requests to plain services.
const HeaderWorkspace = "X-Chivewind-Workspace"

// unforwardedHeaders lists the headers that are not forwarded: hop-by-hop headers, and Content-Length, Expect and
// Host, which apply only to the message in which they were received.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// IsIdempotent reports whether a request with the method may be executed more than once, because HTTP defines the
// method as idempotent. It returns false for TRACE, although HTTP defines that as idempotent too.
func IsIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// CopyHeader copies the headers of src to dst, except hop-by-hop headers, those named in the Connection header of src,
// Content-Length, Expect and Host. A copied header replaces the values that dst has for it.
func CopyHeader(dst, src http.Header) {
	var named map[string]bool
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !unforwardedHeaders[name] && !named[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}
