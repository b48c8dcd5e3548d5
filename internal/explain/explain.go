// Package explain collects the log lines of one request from the logs of entry daemons and explains in one
// sentence why the request ended.
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

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Line is one log line about a request.
type Line struct {
	Time    time.Time
	Daemon  string
	Message string
	// Fields are the other fields of the line as name=value, sorted, without the field "request", empty fields and
	// those whose names begin with @.
	Fields []string

	reason string
}

// Report contains the log lines of a request and the cause of its end.
type Report struct {
	// Request is the caller's attempt ID, which the log field "request" contains.
	Request string
	Lines   []Line
	// Cause explains in one sentence why the request ended.
	Cause string
}

// Find reads the logs of one or more daemons, concatenated in any order, and returns the lines of the request
// with the given attempt ID sorted by time. Text before the JSON object of a line is ignored, as are lines that
// cannot be parsed. The error is not nil if the logs cannot be read or a line is longer than maxLine.
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
		return nil, fmt.Errorf("read logs: %w", err)
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	r.Cause = explainEnd(r.Lines)
	return r, nil
}

// parse decodes a log line. It returns false if the line is not about the request.
func parse(raw []byte, request string) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(raw[begin:]))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil || formatValue(fields["request"]) != request {
		return Line{}, false
	}
	line := Line{Daemon: formatValue(fields["daemon"]), Message: formatValue(fields["@message"]), reason: formatValue(fields["reason"])}
	// A line without a valid timestamp has the zero time and is sorted first.
	line.Time, _ = time.Parse(time.RFC3339Nano, formatValue(fields["@timestamp"]))
	for name, value := range fields {
		if !strings.HasPrefix(name, "@") && name != "request" && name != "daemon" && formatValue(value) != "" {
			line.Fields = append(line.Fields, name+"="+formatValue(value))
		}
	}
	slices.Sort(line.Fields)
	return line, true
}

func formatValue(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// explainEnd returns the explanation of the last line that has a reason.
func explainEnd(lines []Line) string {
	for _, line := range slices.Backward(lines) {
		if line.reason != "" {
			return entry.Reason(line.reason).Explain()
		}
	}
	if len(lines) == 0 {
		return "No daemon logged the request: it never reached one, it was served and its log line was omitted by the rate limit, or the daemon's log is missing."
	}
	return "The request is still in progress, or its daemon was killed before it logged the end."
}
