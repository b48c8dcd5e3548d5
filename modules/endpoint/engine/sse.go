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
	readBufferBytes = 8 << 10
	// maxEventBytes is the maximum size of one event. It keeps an engine from exhausting the daemon's
	// memory.
	maxEventBytes = 1 << 20
)

var (
	doneMarker       = []byte("[DONE]")
	errEventTooLarge = errors.New("engine sent an event above the size limit")
)

// event is one server-sent event. Its data is valid until the next call of eventReader.next.
type event struct {
	// id is the SSE id, or 0 if it is missing or not a number.
	id   int
	name string
	data []byte
}

// isError reports whether the event is an error event, by its name or by its data.
func (e event) isError() bool {
	return e.name == "error" || bytes.HasPrefix(e.data, []byte(`{"error"`))
}

// eventReader reads server-sent events.
type eventReader struct {
	r    *bufio.Reader
	data []byte
	// textScratch is a reusable buffer for the decoded text of a token.
	textScratch []byte
}

// eventReaderPool pools event readers, because their buffers are the largest allocation of an attempt.
var eventReaderPool = sync.Pool{New: func() any {
	return &eventReader{r: bufio.NewReaderSize(nil, readBufferBytes), textScratch: make([]byte, 0, 256)}
}}

func newEventReader(r io.Reader) *eventReader {
	reader := eventReaderPool.Get().(*eventReader)
	reader.r.Reset(r)
	return reader
}

// release returns the reader to the pool, which invalidates the events that it has returned.
func (r *eventReader) release() {
	r.r.Reset(nil)
	eventReaderPool.Put(r)
}

// buffered reports whether more bytes can be read without blocking.
func (r *eventReader) buffered() bool { return r.r.Buffered() > 0 }

// next returns the next event with data. The end of the stream is an error, because a complete stream has
// an end marker, after which the caller stops reading.
func (r *eventReader) next() (event, error) {
	var ev event
	r.data = r.data[:0]
	for {
		line, err := r.readLine()
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
			if len(r.data)+len(value) > maxEventBytes {
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

// readLine returns the next line without its line ending. It is valid until the next read.
func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxEventBytes {
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
