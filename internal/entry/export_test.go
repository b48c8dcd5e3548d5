package entry

// RemoteRequests returns the number of requests whose load the server counts as the scheduler of other daemons.
func (s *Server) RemoteRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.remote)
}
