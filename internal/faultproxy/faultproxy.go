// Package faultproxy is a proxy for tests that injects network faults between real processes:
// latency, cut, one-way loss, connections that go silent, and replies that are lost.
// It forwards TCP and UDP on the same port.
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is what the proxy does to traffic. The zero value forwards everything.
type Fault struct {
	// Latency delays each chunk or datagram, plus up to Jitter at random.
	Latency time.Duration
	Jitter  time.Duration
	// Cut closes all connections, refuses new ones and drops datagrams.
	Cut bool
	// DropToServer and DropToClient discard bytes in one direction; connections stay open.
	DropToServer bool
	DropToClient bool
	// SilenceOpen makes the connections that are open now silent in both directions for good;
	// new connections work.
	SilenceOpen bool
	// LoseReplies forwards requests and closes the connection instead of returning the reply.
	LoseReplies bool
}

// bufferSize is the size of one forwarded chunk and the largest datagram, in bytes.
const bufferSize = 64 << 10

// Proxy forwards a loopback port to a target. All methods are safe for concurrent use.
type Proxy struct {
	target string
	tcp    net.Listener
	udp    *net.UDPConn
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	rng   *rand.Rand
	links map[*link]struct{}
	flows map[string]*net.UDPConn
}

// link is one proxied TCP connection.
type link struct {
	client, server net.Conn
	silent         bool
	// lostToServer and lostToClient say that bytes of a direction were discarded. No later ones pass
	// then, because a TCP connection never delivers a stream with a gap.
	lostToServer, lostToClient bool
}

// New listens on a free loopback port and forwards to target (IP:port). The seed fixes the jitter.
func New(target string, seed uint64) (*Proxy, error) {
	tcp, udp, err := listenBoth()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		target: target, tcp: tcp, udp: udp, ctx: ctx, cancel: cancel,
		rng:   rand.New(rand.NewPCG(seed, seed)),
		links: map[*link]struct{}{}, flows: map[string]*net.UDPConn{},
	}
	p.wg.Add(2)
	go p.acceptTCP()
	go p.readUDP()
	return p, nil
}

// listenBoth binds TCP and UDP on one free port.
func listenBoth() (net.Listener, *net.UDPConn, error) {
	const attempts = 20
	for range attempts {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		port := tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err == nil {
			return tcp, udp, nil
		}
		tcp.Close()
	}
	return nil, nil, errors.New("no port is free for both TCP and UDP")
}

// Addr is the address that clients use instead of the target.
func (p *Proxy) Addr() string { return p.tcp.Addr().String() }

// Set replaces the fault.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for l := range p.links {
		if f.Cut {
			l.close()
		}
		if f.SilenceOpen {
			l.silent = true
		}
	}
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	p.cancel()
	p.tcp.Close()
	p.udp.Close()
	p.mu.Lock()
	for l := range p.links {
		l.close()
	}
	for _, f := range p.flows {
		f.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (l *link) close() {
	l.client.Close()
	if l.server != nil {
		l.server.Close()
	}
}

func (p *Proxy) acceptTCP() {
	defer p.wg.Done()
	for {
		client, err := p.tcp.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.serve(client)
	}
}

// serve forwards one connection until either side closes it.
func (p *Proxy) serve(client net.Conn) {
	defer p.wg.Done()
	defer client.Close()
	if p.current().Cut {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = struct{}{}
	cut := p.fault.Cut || p.ctx.Err() != nil
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
		l.close()
	}()
	if cut {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(l, server, client, true) }()
	go func() { defer both.Done(); p.copy(l, client, server, false) }()
	both.Wait()
}

// reset closes a connection so that the peer sees a reset instead of an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// copy forwards one direction. At the end it closes the writing side only, so that a half-closed
// connection keeps working, unless the read failed.
func (p *Proxy) copy(l *link, dst, src net.Conn, toServer bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.forward(l, dst, buf[:n], toServer) {
			return
		}
		if err != nil {
			p.endDirection(l, dst)
			return
		}
	}
}

// endDirection passes on an end of stream, unless the connection is silent: its peer must not see it.
func (p *Proxy) endDirection(l *link, dst net.Conn) {
	p.mu.Lock()
	silent := l.silent || l.lostToServer || l.lostToClient || p.fault.DropToClient || p.fault.DropToServer
	p.mu.Unlock()
	if silent {
		<-p.ctx.Done()
		return
	}
	if t, ok := dst.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// forward writes one chunk under the present fault. It returns false when the link must end.
func (p *Proxy) forward(l *link, dst net.Conn, chunk []byte, toServer bool) bool {
	f := p.current()
	if !p.wait(f) {
		return false
	}
	p.mu.Lock()
	l.lostToServer = l.lostToServer || f.DropToServer && toServer
	l.lostToClient = l.lostToClient || f.DropToClient && !toServer
	lost := l.silent || l.lostToServer && toServer || l.lostToClient && !toServer
	p.mu.Unlock()
	switch {
	case lost:
		return true
	case f.LoseReplies && !toServer:
		l.close()
		return false
	}
	_, err := dst.Write(chunk)
	if err != nil {
		l.close()
	}
	return err == nil
}

// current returns the fault with the random part of the latency drawn.
func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.fault
	if f.Jitter > 0 {
		f.Latency += time.Duration(p.rng.Int64N(int64(f.Jitter)))
	}
	return f
}

func (p *Proxy) wait(f Fault) bool {
	if f.Latency == 0 {
		return true
	}
	select {
	case <-time.After(f.Latency):
		return true
	case <-p.ctx.Done():
		return false
	}
}

// readUDP forwards datagrams from clients, one flow per client address.
func (p *Proxy) readUDP() {
	defer p.wg.Done()
	buf := make([]byte, bufferSize)
	for {
		n, from, err := p.udp.ReadFromUDP(buf)
		if err != nil {
			if p.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		f := p.current()
		if f.Cut || f.DropToServer {
			continue
		}
		flow, err := p.flow(from)
		if err != nil {
			continue
		}
		p.sendUDP(f, append([]byte(nil), buf[:n]...), func(b []byte) { flow.Write(b) })
	}
}

// flow returns the socket that stands for a client towards the target.
func (p *Proxy) flow(from *net.UDPAddr) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.flows[from.String()]; ok {
		return f, nil
	}
	if p.ctx.Err() != nil {
		return nil, p.ctx.Err()
	}
	target, err := net.ResolveUDPAddr("udp", p.target)
	if err != nil {
		return nil, fmt.Errorf("resolve target %s: %w", p.target, err)
	}
	f, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil, err
	}
	p.flows[from.String()] = f
	p.wg.Add(1)
	go p.returnUDP(f, from)
	return f, nil
}

// returnUDP forwards datagrams from the target to a client.
func (p *Proxy) returnUDP(flow *net.UDPConn, to *net.UDPAddr) {
	defer p.wg.Done()
	buf := make([]byte, bufferSize)
	for {
		n, err := flow.Read(buf)
		if errors.Is(err, net.ErrClosed) || p.ctx.Err() != nil {
			return
		}
		f := p.current()
		if err != nil || f.Cut || f.DropToClient || f.LoseReplies {
			continue
		}
		p.sendUDP(f, append([]byte(nil), buf[:n]...), func(b []byte) { p.udp.WriteToUDP(b, to) })
	}
}

// sendUDP sends a datagram after the fault's latency.
func (p *Proxy) sendUDP(f Fault, b []byte, send func([]byte)) {
	if f.Latency == 0 {
		send(b)
		return
	}
	time.AfterFunc(f.Latency, func() { send(b) })
}
