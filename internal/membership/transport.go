package membership

import (
	"net"
	"net/netip"
	"sync"
)

// Transport carries datagrams between daemons.
type Transport interface {
	// Send sends one datagram to IP:port. It must not block.
	Send(address string, payload []byte) error
	// Receive waits for a datagram. It fails with net.ErrClosed after Close.
	Receive(buf []byte) (n int, from string, err error)
	Close() error
}

var _ Transport = (*UDP)(nil)

// UDP implements Transport over a UDP socket.
type UDP struct {
	conn *net.UDPConn
	mu   sync.Mutex
	// parsed and formatted cache the conversions of addresses, to avoid a conversion per packet.
	parsed    map[string]netip.AddrPort
	formatted map[netip.AddrPort]string
}

// maxCachedAddresses bounds each address cache, since the addresses of replaced daemons are not
// removed.
const maxCachedAddresses = 4096

// ListenUDP opens a UDP socket on host:port.
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
		conn: conn, parsed: map[string]netip.AddrPort{}, formatted: map[netip.AddrPort]string{},
	}, nil
}

// Address returns the bound address.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Send implements Transport.
func (u *UDP) Send(address string, payload []byte) error {
	a, err := u.parseAddress(address)
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
	return n, u.formatAddress(from), nil
}

// Close implements Transport.
func (u *UDP) Close() error { return u.conn.Close() }

func (u *UDP) parseAddress(address string) (netip.AddrPort, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a, ok := u.parsed[address]; ok {
		return a, nil
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return a, err
	}
	if len(u.parsed) >= maxCachedAddresses {
		clear(u.parsed)
	}
	u.parsed[address] = a
	return a, nil
}

func (u *UDP) formatAddress(a netip.AddrPort) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s, ok := u.formatted[a]; ok {
		return s
	}
	if len(u.formatted) >= maxCachedAddresses {
		clear(u.formatted)
	}
	s := netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
	u.formatted[a] = s
	return s
}
