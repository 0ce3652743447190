package head

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Bounds of status codes, and the code with which a server leaves HTTP.
const (
	firstStatus      = 100
	firstFinalStatus = 200
	lastStatus       = 599
	switching        = 101
)

// Positions in a status line, as in "HTTP/1.1 200 OK".
const (
	versionEnd = len("HTTP/1.1")
	statusEnd  = versionEnd + len(" 200")
)

// versionPrefix begins every status line.
const versionPrefix = "HTTP/1."

// errNoStatusLine means that a head does not begin with a status line.
var errNoStatusLine = errors.New("not a status line")

var (
	version10 = []byte("HTTP/1.0")
	version11 = []byte("HTTP/1.1")
)

// parseStatusLine returns the status code of a status line: version, status code of three digits and reason phrase, separated
// by single spaces. The second space must be there even if the phrase is empty.
func parseStatusLine(line []byte) (int, error) {
	if len(line) <= statusEnd || line[versionEnd] != ' ' || line[statusEnd] != ' ' {
		return 0, errNoStatusLine
	}
	if version := line[:versionEnd]; !bytes.Equal(version, version11) && !bytes.Equal(version, version10) {
		return 0, errors.New("unknown protocol version")
	}
	status := 0
	for _, c := range line[versionEnd+1 : statusEnd] {
		if c < '0' || c > '9' {
			return 0, errors.New("status code is not a number")
		}
		status = status*10 + int(c-'0')
	}
	if status < firstStatus || status > lastStatus || status == switching {
		// Switching needs a request for it, and no request asks for it.
		return 0, errors.Newf("invalid status code %03d", status)
	}
	if !isText(line[statusEnd+1:]) {
		return 0, errors.New("control character in reason phrase")
	}
	return status, nil
}

// isText reports whether b has no control characters other than tabs, as reason phrases and field values must.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
