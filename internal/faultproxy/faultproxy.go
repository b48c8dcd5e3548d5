// Package faultproxy provides a TCP and UDP proxy for tests that injects network faults between
// processes: latency, partitions, loss in one direction, stalled connections and lost replies.
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

// Fault describes the network faults to inject. The zero value forwards all traffic unchanged.
type Fault struct {
	// Latency delays each chunk or datagram. Jitter is the upper limit of a random additional delay.
	Latency time.Duration
	Jitter  time.Duration
	// Cut closes the open connections, resets new ones after accepting them and drops datagrams.
	Cut bool
	// DropToServer and DropToClient discard bytes in one direction; connections stay open.
	DropToServer bool
	DropToClient bool
	// StallOpen permanently discards all data, in both directions, on the connections that are open
	// when the fault is set; connections opened later work.
	StallOpen bool
	// DropReplies forwards requests but closes the connection instead of returning the reply.
	// Datagrams from the target are dropped.
	DropReplies bool
}

// bufferSize is the maximum size of a forwarded chunk or datagram, in bytes.
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
	conns map[*proxiedConn]struct{}
	// flows has the sockets to the target by the address of the client.
	flows map[string]*net.UDPConn
}

// proxiedConn is one proxied TCP connection.
type proxiedConn struct {
	client, server net.Conn
	// stalled says that data in both directions is discarded, see Fault.StallOpen.
	stalled bool
	// lostToServer and lostToClient say that bytes in that direction were discarded. All later bytes in
	// that direction are discarded as well, because TCP never delivers a stream with a gap.
	lostToServer, lostToClient bool
}

// New starts a proxy on a free loopback port, for TCP and UDP, that forwards to target (IP:port).
// The seed determines the jitter. It returns an error if no port is free for both protocols.
func New(target string, seed uint64) (*Proxy, error) {
	tcp, udp, err := listen()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		target: target, tcp: tcp, udp: udp, ctx: ctx, cancel: cancel,
		rng:   rand.New(rand.NewPCG(seed, seed)),
		conns: map[*proxiedConn]struct{}{}, flows: map[string]*net.UDPConn{},
	}
	p.wg.Add(2)
	go p.acceptConns()
	go p.forwardDatagrams()
	return p, nil
}

// listen binds TCP and UDP on one free port.
func listen() (net.Listener, *net.UDPConn, error) {
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

// Addr returns the address (IP:port) that clients use instead of the target.
func (p *Proxy) Addr() string { return p.tcp.Addr().String() }

// SetFault replaces the current fault and applies it to open connections.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		if f.Cut {
			c.close()
		}
		if f.StallOpen {
			c.stalled = true
		}
	}
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	p.cancel()
	p.tcp.Close()
	p.udp.Close()
	p.mu.Lock()
	for c := range p.conns {
		c.close()
	}
	for _, f := range p.flows {
		f.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (c *proxiedConn) close() {
	c.client.Close()
	if c.server != nil {
		c.server.Close()
	}
}

func (p *Proxy) acceptConns() {
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

// serve forwards one connection until both directions have ended.
func (p *Proxy) serve(client net.Conn) {
	defer p.wg.Done()
	defer client.Close()
	if p.drawFault().Cut {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	cut := p.fault.Cut || p.ctx.Err() != nil
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		c.close()
	}()
	if cut {
		return
	}
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); p.copy(c, server, client, true) }()
	go func() { defer directions.Done(); p.copy(c, client, server, false) }()
	directions.Wait()
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	conn.Close()
}

// copy forwards one direction. When reading ends, it closes only the write side of dst, so that a
// half-closed connection keeps working.
func (p *Proxy) copy(c *proxiedConn, dst, src net.Conn, toServer bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.forward(c, dst, buf[:n], toServer) {
			return
		}
		if err != nil {
			p.closeDirection(c, dst)
			return
		}
	}
}

// closeDirection passes on the end of a stream. If data of the connection is being discarded, it
// waits for the end of the proxy instead, because the peer of a broken network path sees no FIN.
func (p *Proxy) closeDirection(c *proxiedConn, dst net.Conn) {
	p.mu.Lock()
	discarding := c.stalled || c.lostToServer || c.lostToClient || p.fault.DropToClient || p.fault.DropToServer
	p.mu.Unlock()
	if discarding {
		<-p.ctx.Done()
		return
	}
	if t, ok := dst.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// forward writes or discards one chunk according to the current fault. It returns false if the
// connection has been closed or the proxy is closing.
func (p *Proxy) forward(c *proxiedConn, dst net.Conn, chunk []byte, toServer bool) bool {
	f := p.drawFault()
	if !p.delay(f) {
		return false
	}
	p.mu.Lock()
	c.lostToServer = c.lostToServer || f.DropToServer && toServer
	c.lostToClient = c.lostToClient || f.DropToClient && !toServer
	discard := c.stalled || c.lostToServer && toServer || c.lostToClient && !toServer
	p.mu.Unlock()
	switch {
	case discard:
		return true
	case f.DropReplies && !toServer:
		c.close()
		return false
	}
	_, err := dst.Write(chunk)
	if err != nil {
		c.close()
	}
	return err == nil
}

// drawFault returns the current fault, whose Latency includes a new random jitter.
func (p *Proxy) drawFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.fault
	if f.Jitter > 0 {
		f.Latency += time.Duration(p.rng.Int64N(int64(f.Jitter)))
	}
	return f
}

// delay waits for the fault's latency. It returns false if the proxy is closed meanwhile.
func (p *Proxy) delay(f Fault) bool {
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

// forwardDatagrams forwards datagrams from clients to the target through one socket per client address.
func (p *Proxy) forwardDatagrams() {
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
		f := p.drawFault()
		if f.Cut || f.DropToServer {
			continue
		}
		flow, err := p.flow(from)
		if err != nil {
			continue
		}
		p.sendDatagram(f, append([]byte(nil), buf[:n]...), func(b []byte) { flow.Write(b) })
	}
}

// flow returns the socket that sends a client's datagrams to the target, and creates it if needed.
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
	go p.returnDatagrams(f, from)
	return f, nil
}

// returnDatagrams forwards datagrams from the target to a client.
func (p *Proxy) returnDatagrams(flow *net.UDPConn, to *net.UDPAddr) {
	defer p.wg.Done()
	buf := make([]byte, bufferSize)
	for {
		n, err := flow.Read(buf)
		if errors.Is(err, net.ErrClosed) || p.ctx.Err() != nil {
			return
		}
		f := p.drawFault()
		if err != nil || f.Cut || f.DropToClient || f.DropReplies {
			continue
		}
		p.sendDatagram(f, append([]byte(nil), buf[:n]...), func(b []byte) { p.udp.WriteToUDP(b, to) })
	}
}

// sendDatagram sends a datagram after the fault's latency.
func (p *Proxy) sendDatagram(f Fault, b []byte, send func([]byte)) {
	if f.Latency == 0 {
		send(b)
		return
	}
	time.AfterFunc(f.Latency, func() { send(b) })
}
