package integration

import (
	"bufio"
	"io"
	"strings"
)

// lineReader reads lines without their line endings.
type lineReader struct{ r *bufio.Reader }

func newLineReader(r io.Reader) *lineReader { return &lineReader{r: bufio.NewReader(r)} }

// next returns the next line. A line that is not terminated is an error.
func (l *lineReader) next() (string, error) {
	line, err := l.r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}
