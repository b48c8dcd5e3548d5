package kit

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
)

// Memory is what counts towards the memory of a machine.
type Memory struct {
	// Anonymous is the memory of the process itself, without the pages of its program file, in bytes.
	Anonymous int64
	// Unread are the bytes that have been received and not yet read.
	Unread int64
}

// Total is the sum.
func (m Memory) Total() int64 { return m.Anonymous + m.Unread }

// Memory returns the memory of the process now.
func (p *Daemon) Memory() Memory {
	var m Memory
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return m
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			m.Anonymous = kb << 10
		}
	}
	m.Unread = unread(netip.MustParseAddrPort(p.Front))
	return m
}

// unread returns the bytes in the receive queues of the connections that a listener has accepted.
func unread(front netip.AddrPort) int64 {
	ip := front.Addr().As4()
	ip[0], ip[1], ip[2], ip[3] = ip[3], ip[2], ip[1], ip[0]
	local := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip[:])), front.Port())
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	sum := int64(0)
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		// State 01 is an open connection and 08 one whose other side has closed.
		if len(fields) < 5 || fields[1] != local || fields[3] != "01" && fields[3] != "08" {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		sum += n
	}
	return sum
}

// DialFrom opens a connection from a loopback address.
func DialFrom(local, remote string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(local)}}
	return d.Dial("tcp4", remote)
}
