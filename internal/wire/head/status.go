package head

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Status codes.
const (
	firstStatus      = 100
	firstFinalStatus = 200
	lastStatus       = 599
	switching        = 101
	noContent        = 204
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

// statusLine is what the first line of a head says.
type statusLine struct {
	code   int
	http10 bool
}

// interim reports whether another response follows this one.
func (s statusLine) interim() bool { return s.code < firstFinalStatus }

// bodiless reports whether a server must not send a body, and so no length of one. A 304 has none either, but may name
// the length of the body that it stands for.
func (s statusLine) bodiless() bool { return s.interim() || s.code == noContent }

// parseStatusLine parses the first line of a head: version, status code of three digits and reason phrase, separated by
// single spaces. The second space must be there even if the phrase is empty.
func parseStatusLine(line []byte) (statusLine, error) {
	if len(line) <= statusEnd || line[versionEnd] != ' ' || line[statusEnd] != ' ' {
		return statusLine{}, errNoStatusLine
	}
	s := statusLine{http10: bytes.Equal(line[:versionEnd], version10)}
	if !s.http10 && !bytes.Equal(line[:versionEnd], version11) {
		return statusLine{}, errors.New("unknown protocol version")
	}
	for _, c := range line[versionEnd+1 : statusEnd] {
		if c < '0' || c > '9' {
			return statusLine{}, errors.New("status code is not a number")
		}
		s.code = s.code*10 + int(c-'0')
	}
	if s.code < firstStatus || s.code > lastStatus || s.code == switching {
		// Switching needs a request for it, and no request asks for it.
		return statusLine{}, errors.Newf("invalid status code %03d", s.code)
	}
	if !isText(line[statusEnd+1:]) {
		return statusLine{}, errors.New("control character in reason phrase")
	}
	return s, nil
}
