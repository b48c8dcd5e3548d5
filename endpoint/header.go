package endpoint

import (
	"net/http"
	"net/textproto"
	"strings"
)

// HeaderWorkspace names the workspace.
const HeaderWorkspace = "X-Chivewind-Workspace"

// singleHop lists headers that belong to one connection and are not passed on.
var singleHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// Repeatable says whether a call with the method may run twice, as HTTP defines it.
func Repeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// CopyHeader copies the headers that are passed on from one side to the other.
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
		if !singleHop[name] && !named[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}
