// Package reqbody reads the bodies of callers' requests into memory that a reqmem.Gate grants.
package reqbody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/chivewind/chivewind/internal/reqmem"
)

const (
	// firstBlock, in bytes, holds the bodies of most ordinary requests. The second block completes reqmem.SmallBody, and
	// further ones have largeBlock bytes: a larger block would reserve more than the caller has sent.
	firstBlock = 4 << 10
	largeBlock = 64 << 10
	// progressTime and progressBytes are the least progress of a body: callers that send less in this time are
	// disconnected. The time is longer than the timeouts of ordinary routes, so that callers which use theirs up are not
	// concerned. Stalled bodies give way sooner when others wait for memory (package reqmem).
	progressTime  = 20 * time.Second
	progressBytes = 20 << 10
	// extendInterval is the time after which bytes that arrive extend the time for the next ones.
	extendInterval = time.Second
	// lingerTime is the time for which the rest of a rejected body is read and discarded, so that the caller can read the
	// response before its connection is reset.
	lingerTime = time.Second
)

var (
	// ErrTooLarge means that the body exceeds the limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoMemory means that the body had to give way to others.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrLate means that the body had not arrived by the deadline, or arrived too slowly.
	ErrLate = errors.New("the body did not arrive in time")
)

// Options are the limits of one body.
type Options struct {
	// Limit is the maximum size in bytes.
	Limit int64
	// Deadline is the time by which the body must have arrived.
	Deadline time.Time
	// Copies is the number of copies of the body that will be in memory; 0 stands for 1.
	Copies int64
}

// Read reads the body of r into consecutive blocks. Any error other than those of this package means that the caller has
// disconnected or that the body is malformed.
func Read(w http.ResponseWriter, r *http.Request, lease *reqmem.Lease, o Options) ([][]byte, error) {
	if r.ContentLength > o.Limit {
		return nil, ErrTooLarge
	}
	b := &reader{control: http.NewResponseController(w), body: r.Body, length: r.ContentLength, lease: lease, options: o}
	b.restart(time.Now())
	if err := b.read(); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = ErrLate
			if lease.Abandoned() {
				err = ErrNoMemory
			}
		}
		return nil, err
	}
	if !lease.Complete() {
		return nil, ErrNoMemory
	}
	// Later reads only detect that the caller disconnects.
	_ = b.control.SetReadDeadline(time.Time{})
	return b.blocks, nil
}

// reader reads one body.
type reader struct {
	control *http.ResponseController
	body    io.Reader
	// length is the announced length, or -1.
	length  int64
	lease   *reqmem.Lease
	options Options
	blocks  [][]byte
	total   int64
	// windowStart and windowTotal are the start of the current measurement of progress and the bytes read before it;
	// extendedAt is the time when the read deadline was last set.
	windowStart time.Time
	windowTotal int64
	extendedAt  time.Time
}

// read reads the body to its end.
func (b *reader) read() error {
	for {
		block, err := b.nextBlock()
		if err != nil {
			return err
		}
		n, err := b.fill(block)
		if n > 0 {
			b.blocks = append(b.blocks, block[:n])
		}
		switch {
		case b.total > b.options.Limit:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// nextBlock returns memory for the next bytes. After the announced or the largest legal length it is a single byte, which
// only detects the end of the body.
func (b *reader) nextBlock() ([]byte, error) {
	size := int64(largeBlock)
	switch b.total {
	case 0:
		size = firstBlock
	case firstBlock:
		size = reqmem.SmallBody - firstBlock
	}
	rest := b.options.Limit - b.total
	if b.length >= 0 {
		rest = b.length - b.total
	}
	if rest <= 0 {
		return make([]byte, 1), nil
	}
	size = min(size, rest)
	if !b.lease.Grow(size * max(b.options.Copies, 1)) {
		return nil, ErrNoMemory
	}
	// A caller makes no progress while its request waits for memory.
	if b.total > 0 {
		if now := time.Now(); now.Sub(b.extendedAt) >= extendInterval {
			b.restart(now)
		}
	}
	return make([]byte, size), nil
}

// fill reads until the block is full or an error occurs.
func (b *reader) fill(block []byte) (int, error) {
	filled := 0
	for filled < len(block) {
		n, err := b.body.Read(block[filled:])
		filled += n
		b.total += int64(n)
		if err != nil {
			return filled, err
		}
		if b.total >= reqmem.SmallBody || filled < len(block) {
			if err := b.progress(time.Now()); err != nil {
				return filled, err
			}
		}
	}
	return filled, nil
}

// progress extends the time for the next bytes. It returns ErrLate if the last ones arrived too slowly.
func (b *reader) progress(now time.Time) error {
	if now.Sub(b.extendedAt) < extendInterval {
		return nil
	}
	if now.Sub(b.windowStart) >= progressTime {
		if b.total-b.windowTotal < progressBytes {
			return ErrLate
		}
		b.windowStart, b.windowTotal = now, b.total
	}
	b.lease.Progress(now)
	b.extend(now)
	if b.lease.Abandoned() {
		return ErrNoMemory
	}
	return nil
}

// restart begins a measurement of progress.
func (b *reader) restart(now time.Time) {
	b.windowStart, b.windowTotal = now, b.total
	b.extend(now)
}

// extend sets the time by which the next bytes must arrive.
func (b *reader) extend(now time.Time) {
	b.extendedAt = now
	deadline := now.Add(progressTime)
	if b.options.Deadline.Before(deadline) {
		deadline = b.options.Deadline
	}
	_ = b.control.SetReadDeadline(deadline)
}

// LimitRest bounds the time for which the HTTP server reads the unread rest of the body of a request that is rejected
// without reading it. It must be called before the response is written.
func LimitRest(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	if r.ContentLength < 0 || r.ContentLength > reqmem.SmallBody {
		w.Header().Set("Connection", "close")
	}
}

// Linger sends the response that has been written and discards the rest of the body for a short time.
func Linger(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, r.Body)
}
