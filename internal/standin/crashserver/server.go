// Package crashserver is an HTTP server for stand-ins that can crash and come back.
package crashserver

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// relistenPause is the pause between attempts to bind the address again after a crash.
const relistenPause = 5 * time.Millisecond

// Server is an HTTP server on a fixed address that can crash and come back.
type Server struct {
	handler  http.Handler
	address  string
	reserved int

	mu     sync.Mutex
	server *http.Server
	// listener is closed by Crash itself, because the server may not have begun to serve it.
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
	revive   *time.Timer
}

// Listen starts a server. An address with port 0 gets a free port, which it keeps.
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
	s := &Server{handler: h, address: bound, reserved: fd}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(l)
	return s, nil
}

// Address returns host:port.
func (s *Server) Address() string { return s.address }

// URL returns the base address.
func (s *Server) URL() string { return "http://" + s.address }

// serve is called with mu held.
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

// Crash breaks all connections and refuses new ones for a while; 0 means until Revive.
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
		s.revive = time.AfterFunc(down, func() { _ = s.Revive() })
	}
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Revive accepts connections again after a crash.
func (s *Server) Revive() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.server == nil && !s.closed {
		l, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(l)
			return nil
		}
		s.mu.Unlock()
		time.Sleep(relistenPause)
		s.mu.Lock()
	}
	if s.closed {
		return errors.New("server is closed")
	}
	return nil
}

// Close stops the server.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	if s.revive != nil {
		s.revive.Stop()
	}
	s.mu.Unlock()
	s.Crash(0)
	_ = syscall.Close(s.reserved)
}

// Reset makes the close of a connection visible as a reset, as after a crash of the process.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Abort resets the connection of a request that is being answered.
func Abort(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	Reset(c)
}
