package crashserver

import (
	"net/netip"
	"syscall"
)

// reserve binds a socket to an IPv4 address without listening on it. While the socket is open, no other
// process or test is assigned the port, connections to a crashed server are refused, and the server can
// listen on the address again.
func reserve(address string) (fd int, bound string, err error) {
	want, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, "", err
	}
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return 0, "", err
	}
	syscall.CloseOnExec(fd)
	bound, err = bind(fd, want)
	if err != nil {
		_ = syscall.Close(fd)
		return 0, "", err
	}
	return fd, bound, nil
}

func bind(fd int, want netip.AddrPort) (string, error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(want.Port()), Addr: want.Addr().As4()}); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	in4, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return "", syscall.EAFNOSUPPORT
	}
	return netip.AddrPortFrom(want.Addr(), uint16(in4.Port)).String(), nil
}
