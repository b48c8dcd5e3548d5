package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

const (
	readBuffer = 8 << 10
	// maxEvent bounds one event, so that an engine cannot exhaust the memory of the daemon.
	maxEvent = 1 << 20
)

var (
	doneMarker       = []byte("[DONE]")
	errEventTooLarge = errors.New("engine sent an event above the size limit")
)

// event is one server-sent event. Its data is valid until the next call of reader.next.
type event struct {
	id   int
	name string
	data []byte
}

// failed recognizes an error event.
func (e event) failed() bool {
	return e.name == "error" || bytes.HasPrefix(e.data, []byte(`{"error"`))
}

// reader reads server-sent events.
type reader struct {
	r    *bufio.Reader
	data []byte
	// text is scratch space for the decoded text of a token.
	text []byte
}

// readers keeps readers for reuse, because their buffers are the largest allocation of an attempt.
var readers = sync.Pool{New: func() any {
	return &reader{r: bufio.NewReaderSize(nil, readBuffer), text: make([]byte, 0, 256)}
}}

func newReader(r io.Reader) *reader {
	reader := readers.Get().(*reader)
	reader.r.Reset(r)
	return reader
}

// release makes the reader available again. Events that it returned are no longer valid.
func (r *reader) release() {
	r.r.Reset(nil)
	readers.Put(r)
}

// buffered says whether further bytes can be read without waiting.
func (r *reader) buffered() bool { return r.r.Buffered() > 0 }

// next returns the next event with data. An end of the stream is an error, because a whole stream
// has an end marker that the caller sees first.
func (r *reader) next() (event, error) {
	var ev event
	r.data = r.data[:0]
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if len(r.data) == 0 {
				ev = event{}
				continue
			}
			ev.data = r.data[:len(r.data)-1]
			return ev, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			if len(r.data)+len(value) > maxEvent {
				return event{}, errEventTooLarge
			}
			r.data = append(r.data, value...)
			r.data = append(r.data, '\n')
		case "id":
			ev.id, _ = strconv.Atoi(string(value))
		case "event":
			ev.name = string(value)
		}
	}
}

// line returns a line without its end. It is valid until the next read.
func (r *reader) line() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxEvent {
			line, err = r.r.ReadSlice('\n')
			long = append(long, line...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, errEventTooLarge
		}
		line = long
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
