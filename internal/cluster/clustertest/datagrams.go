package clustertest

import (
	"net"
	"sync"
)

// Datagrams is a datagram socket of a Network. It implements membership.Transport.
type Datagrams struct {
	network *Network
	address string
	in      chan datagram
	done    chan struct{}
	once    sync.Once
}

type datagram struct {
	from    string
	payload []byte
}

// Datagrams opens a datagram socket at an address.
func (n *Network) Datagrams(address string) *Datagrams {
	d := &Datagrams{network: n, address: address, in: make(chan datagram, 1024), done: make(chan struct{})}
	n.mu.Lock()
	n.datagrams[address] = d
	n.mu.Unlock()
	return d
}

// Send implements membership.Transport. A datagram across a cut, to an address without a socket, or to a
// socket with a full receive queue is dropped without an error.
func (d *Datagrams) Send(to string, payload []byte) error {
	d.network.mu.Lock()
	target := d.network.datagrams[to]
	cut := d.network.cuts[direction{d.address, to}]
	d.network.mu.Unlock()
	if target == nil || cut {
		return nil
	}
	select {
	case target.in <- datagram{from: d.address, payload: append([]byte(nil), payload...)}:
	default:
	}
	return nil
}

// Receive implements membership.Transport.
func (d *Datagrams) Receive(buf []byte) (int, string, error) {
	select {
	case dg := <-d.in:
		return copy(buf, dg.payload), dg.from, nil
	case <-d.done:
		return 0, "", net.ErrClosed
	}
}

// Close implements membership.Transport.
func (d *Datagrams) Close() error {
	d.once.Do(func() {
		d.network.mu.Lock()
		if d.network.datagrams[d.address] == d {
			delete(d.network.datagrams, d.address)
		}
		d.network.mu.Unlock()
		close(d.done)
	})
	return nil
}
