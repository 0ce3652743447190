package head

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// Names of the fields that give the length of a body.
var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
)

// chunked is the only transfer coding that a server may use without having been asked for it.
var chunked = []byte("chunked")

// maxLengthDigits bounds a content length, so that it does not overflow.
const maxLengthDigits = 18

// length is what a head says of the length of its body.
type length struct {
	// stated is set by a content length, and positive by one of more than 0.
	stated   bool
	positive bool
	// chunked is set by a transfer encoding.
	chunked bool
}

// ParseField returns the name and the value of a field line without its end. The value may have white space around it.
func ParseField(line []byte) ([]byte, []byte, error) {
	colon := bytes.IndexByte(line, ':')
	if colon < 0 {
		return nil, nil, errors.New("field without colon")
	}
	name, value := line[:colon], line[colon+1:]
	if !isToken(name) {
		return nil, nil, errors.New("invalid field name")
	}
	if !isText(value) {
		return nil, nil, errors.New("control character in field value")
	}
	return name, value, nil
}

// field checks a field line and notes what it says of the length.
func (l *length) field(line []byte) error {
	name, value, err := ParseField(line)
	if err != nil {
		return err
	}
	switch {
	case len(name) == len(contentLength) && bytes.EqualFold(name, contentLength):
		return l.contentLength(trim(value))
	case len(name) == len(transferEncoding) && bytes.EqualFold(name, transferEncoding):
		return l.transferEncoding(trim(value))
	default:
		return nil
	}
}

func (l *length) contentLength(value []byte) error {
	if l.stated {
		return errors.New("more than one content length")
	}
	if len(value) == 0 || len(value) > maxLengthDigits {
		return errors.New("invalid content length")
	}
	l.stated = true
	for _, c := range value {
		if c < '0' || c > '9' {
			return errors.New("invalid content length")
		}
		l.positive = l.positive || c != '0'
	}
	return nil
}

func (l *length) transferEncoding(value []byte) error {
	if l.chunked || !bytes.EqualFold(value, chunked) {
		return errors.New("unsupported transfer encoding")
	}
	l.chunked = true
	return nil
}

// check returns an error if the length contradicts itself, or the version or status of the response.
func (l *length) check(s statusLine) error {
	switch {
	case l.chunked && l.stated:
		return errors.New("content length beside transfer encoding")
	case l.chunked && s.http10:
		return errors.New("transfer encoding in HTTP/1.0")
	case (l.chunked || l.positive) && s.bodiless():
		return errors.Newf("body with status %d", s.code)
	default:
		return nil
	}
}

// trim removes the white space around a field value.
func trim(value []byte) []byte { return bytes.Trim(value, " \t") }

// isText reports whether b has only the characters of reason phrases and field values.
func isText(b []byte) bool { return hasOnly(b, &textChars) }

// isToken reports whether b is a token, as field names must be.
func isToken(b []byte) bool { return len(b) > 0 && hasOnly(b, &tokenChars) }

// charSet is a set of characters.
type charSet [256]bool

func hasOnly(b []byte, set *charSet) bool {
	for _, c := range b {
		if !set[c] {
			return false
		}
	}
	return true
}

var (
	// textChars are all characters but controls other than tabs.
	textChars = newCharSet(func(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f })
	// tokenChars are the characters of tokens.
	tokenChars = newCharSet(func(c byte) bool {
		return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
	})
)

func newCharSet(contains func(c byte) bool) charSet {
	var set charSet
	for i := range set {
		set[i] = contains(byte(i))
	}
	return set
}
