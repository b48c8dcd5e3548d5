package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// MaxPacketBytes is the largest datagram in bytes. It stays below the smallest common path MTU, since a
// fragmented datagram is lost when any fragment is lost.
const MaxPacketBytes = 1200

// Formats of a datagram, stored in its first byte.
const (
	formatPlain         = 0
	formatAuthenticated = 1
)

// Errors of decode.
var (
	errFormat         = errors.New("membership packet: unknown format")
	errAuthentication = errors.New("membership packet: missing or invalid HMAC")
)

// codec encodes packets and authenticates them with HMAC-SHA256 if it has a key. It does not detect
// replayed packets. Replayed updates do not replace newer records, since they carry old incarnations,
// and a replayed ack matches no pending probe of the process that received the original.
type codec struct {
	key []byte
}

// overhead returns the number of bytes that encode adds to a packet.
func (c codec) overhead() int {
	if len(c.key) > 0 {
		return 1 + sha256.Size
	}
	return 1
}

func (c codec) encode(p *peer.Packet) ([]byte, error) {
	buf := make([]byte, 1, MaxPacketBytes)
	buf[0] = formatPlain
	if len(c.key) > 0 {
		buf[0] = formatAuthenticated
	}
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, p)
	if err != nil || len(c.key) == 0 {
		return buf, err
	}
	mac := hmac.New(sha256.New, c.key)
	mac.Write(buf)
	return mac.Sum(buf), nil
}

func (c codec) decode(buf []byte) (*peer.Packet, error) {
	if len(buf) < 1 {
		return nil, errFormat
	}
	body := buf
	switch {
	case len(c.key) > 0:
		if buf[0] != formatAuthenticated || len(buf) < 1+sha256.Size {
			return nil, errAuthentication
		}
		body = buf[:len(buf)-sha256.Size]
		mac := hmac.New(sha256.New, c.key)
		mac.Write(body)
		if !hmac.Equal(mac.Sum(nil), buf[len(body):]) {
			return nil, errAuthentication
		}
	case buf[0] != formatPlain:
		return nil, errFormat
	}
	p := new(peer.Packet)
	return p, proto.Unmarshal(body[1:], p)
}
