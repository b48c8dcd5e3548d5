// Package crashserver provides an HTTP server for stand-ins that can simulate a crash and a restart.
package crashserver

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// relistenInterval is the time between attempts to listen on the address again after a crash.
const relistenInterval = 5 * time.Millisecond

// Server is an HTTP server on a fixed address that can simulate a crash and a restart.
type Server struct {
	handler http.Handler
	address string
	// reservedFD is the socket that keeps the port reserved while the server is down.
	reservedFD int

	mu     sync.Mutex
	server *http.Server
	// listener is closed by Crash directly: the HTTP server does not close a listener that it has not
	// started to serve.
	listener     net.Listener
	conns        map[net.Conn]bool
	closed       bool
	restartTimer *time.Timer
}

// Listen starts a server on an IPv4 address and port (IP:port). With port 0, a free port is chosen and kept
// across crashes.
func Listen(address string, h http.Handler) (*Server, error) {
	fd, bound, err := reserve(address)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", bound)
	if err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	s := &Server{handler: h, address: bound, reservedFD: fd}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(l)
	return s, nil
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.address }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.address }

// serve starts to serve connections of l. It must be called with mu held.
func (s *Server) serve(l net.Listener) {
	conns := map[net.Conn]bool{}
	s.conns = conns
	s.listener = l
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(conns, c)
		}
	}}
	server := s.server
	go func() { _ = server.Serve(l) }()
}

// Crash resets all connections and refuses new ones for the given duration, or until Restart if it is 0.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	server := s.server
	s.server = nil
	if server != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		Reset(c)
	}
	if server != nil && down > 0 && !s.closed {
		s.restartTimer = time.AfterFunc(down, func() { _ = s.Restart() })
	}
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Restart accepts connections again after a crash. It returns an error if the server is closed.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.server == nil && !s.closed {
		l, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(l)
			return nil
		}
		s.mu.Unlock()
		time.Sleep(relistenInterval)
		s.mu.Lock()
	}
	if s.closed {
		return errors.New("server is closed")
	}
	return nil
}

// Close stops the server, resets its connections and releases its port.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	s.mu.Unlock()
	s.Crash(0)
	_ = syscall.Close(s.reservedFD)
}

// Reset closes a connection with a TCP reset, as seen by the peer after a crash of the process.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Abort resets the connection of a request from within its handler.
func Abort(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	Reset(c)
}
