// Package standin contains code shared by the stand-ins of external services.
package standin

import (
	"net"
	"net/http"
	"time"
)

// readHeaderTimeout bounds the time to read a request's headers.
const readHeaderTimeout = 5 * time.Second

// Listen serves h on a TCP address until the returned server is closed. It also returns the bound address.
func Listen(h http.Handler, address string) (*http.Server, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go server.Serve(l)
	return server, l.Addr().String(), nil
}
