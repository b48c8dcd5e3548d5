package membership

import (
	"net"
	"net/netip"
	"sync"
)

// Transport carries datagrams between daemons.
type Transport interface {
	// Send sends one datagram to host:port. It must not block.
	Send(address string, payload []byte) error
	// Receive waits for a datagram. It fails with net.ErrClosed after Close.
	Receive(buf []byte) (n int, from string, err error)
	Close() error
}

var _ Transport = (*UDP)(nil)

// UDP is the Transport over a UDP socket.
type UDP struct {
	conn *net.UDPConn
	mu   sync.Mutex
	// addresses holds parsed addresses, and names their text, to avoid parsing per packet.
	addresses map[string]netip.AddrPort
	names     map[netip.AddrPort]string
}

// maxCachedAddresses bounds the caches of a UDP transport; replaced daemons leave old entries.
const maxCachedAddresses = 4096

// ListenUDP opens a socket on host:port.
func ListenUDP(address string) (*UDP, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, err
	}
	return &UDP{
		conn: conn, addresses: map[string]netip.AddrPort{}, names: map[netip.AddrPort]string{},
	}, nil
}

// Address returns the bound address.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Send implements Transport.
func (u *UDP) Send(address string, payload []byte) error {
	a, err := u.parse(address)
	if err != nil {
		return err
	}
	_, err = u.conn.WriteToUDPAddrPort(payload, a)
	return err
}

// Receive implements Transport.
func (u *UDP) Receive(buf []byte) (int, string, error) {
	n, from, err := u.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return n, "", err
	}
	return n, u.name(from), nil
}

// Close implements Transport.
func (u *UDP) Close() error { return u.conn.Close() }

func (u *UDP) parse(address string) (netip.AddrPort, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a, ok := u.addresses[address]; ok {
		return a, nil
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return a, err
	}
	if len(u.addresses) >= maxCachedAddresses {
		clear(u.addresses)
	}
	u.addresses[address] = a
	return a, nil
}

func (u *UDP) name(a netip.AddrPort) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s, ok := u.names[a]; ok {
		return s
	}
	if len(u.names) >= maxCachedAddresses {
		clear(u.names)
	}
	s := netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
	u.names[a] = s
	return s
}
