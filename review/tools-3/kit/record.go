package kit

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Record writes what happens to a file, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// Add adds a line.
func (r *Record) Add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(who, format string, args ...any) {
	r.Add(who, format, args...)
	fmt.Printf("%8.3f  %-10s %s\n", r.Since(time.Now()), who, fmt.Sprintf(format, args...))
}

// Since returns a time in seconds since the start.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Close writes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Serve serves HTTP at an address until the process ends.
func Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}
