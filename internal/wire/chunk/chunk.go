// Package chunk reads chunked bodies of HTTP/1.1 responses by the grammar of RFC 9112, section 7.1. The reader of fasthttp accepts
// more than that.
package chunk

import (
	"bufio"
	"bytes"
	"io"
	"regexp"
	"strconv"

	"geraniumhollow/internal/wire/head"
	"github.com/cockroachdb/errors"
)

// Bounds of the bytes of a body that are no data: lines before chunks and the trailer may have maxOverhead bytes beyond allowance
// and twice the data of each chunk.
const (
	maxOverhead = 16 << 10
	allowance   = 16
)

// maxDigits bounds the size of a chunk, so that it does not overflow.
const maxDigits = 15

// Reader reads a chunked body up to its end, so that the next message of the connection follows. Fields of the trailer are checked
// and dropped.
type Reader struct {
	br *bufio.Reader
	// left is the part of the current chunk that has not been read.
	left int
	// inChunk is set once a chunk has begun whose line end has not been read.
	inChunk  bool
	overhead int
	err      error
}

// NewReader returns a reader of the body that begins at br.
func NewReader(br *bufio.Reader) *Reader { return &Reader{br: br} }

// Read implements io.Reader. Errors for bytes that are no chunked body are marked head.ErrMalformed.
func (r *Reader) Read(b []byte) (int, error) {
	if r.err == nil && r.left == 0 {
		r.err = r.next()
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.br.Read(b[:min(len(b), r.left)])
	r.left -= n
	if err != nil {
		r.err = unexpected(err)
	}
	return n, r.err
}

// next reads up to the data of the next chunk. It returns io.EOF at the end of the body.
func (r *Reader) next() error {
	if r.inChunk {
		line, err := r.line()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return malformed("chunk is longer than its size", line)
		}
	}
	line, err := r.line()
	if err != nil {
		return err
	}
	size, ok := parseSize(line)
	if !ok {
		return malformed("invalid chunk size", line)
	}
	r.overhead = max(0, r.overhead-allowance-2*size)
	if size == 0 {
		return r.trailer()
	}
	r.left, r.inChunk = size, true
	return nil
}

// trailer reads the lines after the last chunk. It returns io.EOF after the empty one.
func (r *Reader) trailer() error {
	for {
		line, err := r.line()
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return io.EOF
		}
		if _, _, err := head.ParseField(line); err != nil {
			return malformed("invalid trailer", line)
		}
	}
}

var lineEnd = []byte("\r\n")

// line reads a line and returns it without its end. It is valid until the next read.
func (r *Reader) line() ([]byte, error) {
	line, err := r.br.ReadSlice('\n')
	switch {
	case err == nil:
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, malformed("line is too long", line)
	default:
		return nil, unexpected(err)
	}
	if r.overhead += len(line); r.overhead > maxOverhead {
		return nil, malformed("too many bytes beside the data", line)
	}
	line, ok := bytes.CutSuffix(line, lineEnd)
	if !ok {
		return nil, malformed("line without carriage return", line)
	}
	return line, nil
}

// extensions are what may follow the size of a chunk.
var extensions = func() *regexp.Regexp {
	const (
		space = "[\t ]*"
		token = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
		quote = `"(?:[^\x00-\x08\x0a-\x1f\x7f"\\]|\\[^\x00-\x08\x0a-\x1f\x7f])*"`
	)
	return regexp.MustCompile(`\A(?:` + space + ";" + space + token + "(?:" + space + "=" + space + "(?:" + token + "|" + quote + `))?)*\z`)
}()

// parseSize returns the size in the line before a chunk.
func parseSize(line []byte) (int, bool) {
	n := 0
	for n < len(line) && isHexDigit(line[n]) {
		n++
	}
	if n == 0 || n > maxDigits || n < len(line) && !extensions.Match(line[n:]) {
		return 0, false
	}
	size, err := strconv.ParseInt(string(line[:n]), 16, 64)
	return int(size), err == nil
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// unexpected returns the error of a read within a body.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err //nolint:wrapcheck // The callers of the reader compare the error of the connection.
}

// quotedBytes bounds the part of a line that an error quotes.
const quotedBytes = 80

func malformed(what string, line []byte) error {
	return errors.Mark(errors.Newf("malformed chunks: %s in %q", what, line[:min(len(line), quotedBytes)]), head.ErrMalformed)
}
