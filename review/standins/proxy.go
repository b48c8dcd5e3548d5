package main

import (
	"net"
	"sync"
)

// link is a proxy on the path from one daemon to the store. While it is cut, it delivers nothing, as a partition does.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cond     *sync.Cond
	isCut    bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target}
	k.cond = sync.NewCond(&k.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// set cuts the link or heals it.
func (k *link) set(cut bool) {
	k.mu.Lock()
	k.isCut = cut
	k.mu.Unlock()
	k.cond.Broadcast()
}

// wait returns when the link is not cut.
func (k *link) wait() {
	k.mu.Lock()
	for k.isCut {
		k.cond.Wait()
	}
	k.mu.Unlock()
}

func (k *link) serve(c net.Conn) {
	k.wait()
	up, err := net.Dial("tcp4", k.target)
	if err != nil {
		c.Close()
		return
	}
	go k.copy(up, c)
	k.copy(c, up)
}

// copy forwards bytes from one connection to the other, and holds them back while the link is cut.
func (k *link) copy(dst, src net.Conn) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		k.wait()
		if n > 0 {
			if _, werr := dst.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
