package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Crowd is a crowd of clients that the system does not control. Each sends a request, reads until the daemon closes the
// channel, and comes again.
type Crowd struct {
	// Address is where the clients connect, and Size the number of clients.
	Address string
	Size    int
	// Send writes the request of a client. It is the n-th of that client.
	Send func(c net.Conn, client, n int)
	// Again is the time after which a client comes again.
	Again time.Duration

	Connects, Refused atomic.Int64

	stop chan struct{}
	wg   sync.WaitGroup
}

// sendBuffer bounds what the kernel holds for one client.
const sendBuffer = 64 << 10

// Start starts the clients. They have 32 loopback addresses.
func (w *Crowd) Start() {
	w.stop = make(chan struct{})
	for i := range w.Size {
		w.wg.Go(func() { w.client(i) })
	}
}

func (w *Crowd) client(i int) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 43, byte(i%32), 1)}, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
		})
	}}
	for n := 0; ; n++ {
		c, err := dialer.Dial("tcp4", w.Address)
		if err != nil {
			w.Refused.Add(1)
		} else {
			w.Connects.Add(1)
			end := make(chan struct{})
			go func() {
				select {
				case <-w.stop:
				case <-end:
				}
				_ = c.Close()
			}()
			w.Send(c, i, n)
			_, _ = io.Copy(io.Discard, c)
			close(end)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(w.Again):
		}
	}
}

// Stop ends the clients.
func (w *Crowd) Stop() {
	close(w.stop)
	w.wg.Wait()
}

// crowdHead returns the header of a request of the crowd, without the blank line at its end.
func crowdHead(method, path, attempt string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\n", method, path, host, attempt, apiKey)
}
