// Package head checks the heads of HTTP/1.1 responses against the grammar of RFC 9112 before they are decoded. The decoder of
// fasthttp accepts more than that, and gives some messages a meaning that their sender did not.
package head

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrMalformed marks an error for bytes that are not an HTTP/1.1 response.
var ErrMalformed = errors.New("malformed response")

// maxInterim bounds the interim responses before a final one.
const maxInterim = 100

// quotedBytes bounds the part of a malformed head that its error quotes.
const quotedBytes = 80

// Await waits until br begins with the head of a final response, and discards the interim responses before it. The head itself
// stays in br, whose buffer limits its size. The error is io.EOF if the connection ends before the first byte.
func Await(br *bufio.Reader) error {
	for range maxInterim + 1 {
		s, err := await(br)
		if err != nil {
			return err
		}
		if !s.status.interim() {
			return nil
		}
		if _, err := br.Discard(s.pos); err != nil {
			return errors.Newf("discard interim response: %w", err)
		}
	}
	return malformed(errors.Newf("more than %d interim responses", maxInterim), nil)
}

// await waits until br begins with a whole head.
func await(br *bufio.Reader) (scanner, error) {
	var s scanner
	for n := 1; ; n = br.Buffered() + 1 {
		_, readErr := br.Peek(n)
		b, _ := br.Peek(br.Buffered())
		ended, err := s.scan(b)
		switch {
		case err != nil:
			return s, malformed(err, b)
		case ended:
			return s, nil
		case errors.Is(readErr, bufio.ErrBufferFull):
			return s, malformed(errors.Newf("head has more than %d bytes", len(b)), b)
		case errors.Is(readErr, io.EOF) && len(b) == 0:
			return s, io.EOF
		case errors.Is(readErr, io.EOF):
			return s, errors.Newf("read head: %w", io.ErrUnexpectedEOF)
		case readErr != nil:
			return s, errors.Newf("read head: %w", readErr)
		}
	}
}

// malformed returns the error for a head that begins with b.
func malformed(err error, b []byte) error {
	return errors.Mark(errors.Newf("malformed head: %w in %q", err, b[:min(len(b), quotedBytes)]), ErrMalformed)
}

// scanner checks a head line by line.
type scanner struct {
	// pos is the position of the first line that has not been checked.
	pos    int
	status statusLine
	length length
}

// scan checks the lines of b, which begins with a head, from pos on. It reports whether the head has ended, before pos.
func (s *scanner) scan(b []byte) (bool, error) {
	for {
		n := bytes.IndexByte(b[s.pos:], '\n')
		if n < 0 {
			return false, s.checkStart(b)
		}
		line := b[s.pos : s.pos+n]
		if n == 0 || line[n-1] != '\r' {
			return false, errors.New("line without carriage return")
		}
		line = line[:n-1]
		first := s.pos == 0
		s.pos += n + 1
		switch {
		case first:
			var err error
			if s.status, err = parseStatusLine(line); err != nil {
				return false, err
			}
		case len(line) == 0:
			return true, s.length.check(s.status)
		default:
			if err := s.length.field(line); err != nil {
				return false, err
			}
		}
	}
}

// checkStart returns an error if b, which has no whole line from pos on, cannot become a head.
func (s *scanner) checkStart(b []byte) error {
	if n := min(len(b), len(versionPrefix)); s.pos == 0 && string(b[:n]) != versionPrefix[:n] {
		return errNoStatusLine
	}
	return nil
}
