// Package explain finds the lines of one request in the logs of entry daemons and says in one sentence why
// it ended as it did.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/chivewind/chivewind/internal/entry"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Line is one log line of a request.
type Line struct {
	Time    time.Time
	Daemon  string
	Message string
	// Fields are the line's other fields in a fixed order, as name=value.
	Fields []string

	reason string
}

// Report is what the logs say of a request.
type Report struct {
	Request string
	Lines   []Line
	// Cause is one sentence.
	Cause string
}

// Find reads logs of one or more daemons, in any order, and returns the lines of a request by time. Text
// before the JSON object of a line is ignored.
func Find(logs io.Reader, request string) (*Report, error) {
	r := &Report{Request: request}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(request)) {
			continue
		}
		if line, ok := parse(raw, request); ok {
			r.Lines = append(r.Lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the logs: %w", err)
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	r.Cause = cause(r.Lines)
	return r, nil
}

func parse(raw []byte, request string) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(raw[begin:]))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil || text(fields["request"]) != request {
		return Line{}, false
	}
	line := Line{Daemon: text(fields["daemon"]), Message: text(fields["@message"]), reason: text(fields["reason"])}
	// A line without a valid time is shown first.
	line.Time, _ = time.Parse(time.RFC3339Nano, text(fields["@timestamp"]))
	for name, value := range fields {
		if !strings.HasPrefix(name, "@") && name != "request" && name != "daemon" && text(value) != "" {
			line.Fields = append(line.Fields, name+"="+text(value))
		}
	}
	slices.Sort(line.Fields)
	return line, true
}

func text(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// cause explains the last line that has a reason.
func cause(lines []Line) string {
	for _, line := range slices.Backward(lines) {
		if line.reason != "" {
			return entry.Reason(line.reason).Explain()
		}
	}
	if len(lines) == 0 {
		return "No daemon logged the request: its connection never reached one, the line was left out because the request was served, or the log of the daemon is missing."
	}
	return "The request has not ended, or its daemon was killed before it could log the end."
}
