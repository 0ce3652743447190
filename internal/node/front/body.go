package front

import (
	"bufio"
	"io"
	"time"

	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// errShed means that a body gave way to others because the memory for bodies was short.
var errShed = errors.New("body was shed")

// Reads of a body that arrives in tiny pieces are delayed, so that a read takes more of them at once: a read of one byte costs as
// much processor time as one of some kilobytes. A body that is slow for another reason is delayed by one pause at most.
const (
	tinyReadBytes = 256
	tinyReads     = 64
	tinyReadPause = 20 * time.Millisecond
)

// bodyReader reads a body into a buffer that draws on the budget as the body arrives.
type bodyReader struct {
	br    *bufio.Reader
	share *shed.Body
	// limit is the largest length of the body.
	limit int
	buf   []byte
	// reads counts the times that the reader has waited for bytes.
	reads int
}

// read reads n bytes into the buffer, which grows to most bytes.
func (r *bodyReader) read(n, most int) error {
	for n > 0 {
		if err := r.beforeRead(); err != nil {
			return err
		}
		if err := r.reserve(min(n, shed.SmallBytes), most); err != nil {
			return err
		}
		free := r.buf[len(r.buf):cap(r.buf)]
		m, err := r.br.Read(free[:min(n, len(free))])
		r.buf = r.buf[:len(r.buf)+m]
		n -= m
		if err != nil {
			return unexpectedEOF(err)
		}
	}
	return nil
}

// reserve makes room for n more bytes. The buffer doubles until it has most bytes.
func (r *bodyReader) reserve(n, most int) error {
	need := len(r.buf) + n
	if need <= cap(r.buf) {
		return nil
	}
	size := min(max(2*cap(r.buf), need), max(most, need))
	if !r.share.Grow(time.Now(), size-cap(r.buf)) {
		return errShed
	}
	buf := make([]byte, len(r.buf), size)
	copy(buf, r.buf)
	r.buf = buf
	return nil
}

// beforeRead records what has arrived if the next read waits for the caller, and pauses if it arrives in tiny pieces.
func (r *bodyReader) beforeRead() error {
	if r.br.Buffered() > 0 {
		return nil
	}
	if !r.share.Progress(time.Now(), len(r.buf)) {
		return errShed
	}
	r.reads++
	if r.reads > tinyReads && len(r.buf)/r.reads < tinyReadBytes {
		time.Sleep(tinyReadPause)
	}
	return nil
}

// readChunked reads a chunked body and the trailer of its request.
func (r *bodyReader) readChunked(h *fasthttp.RequestHeader) error {
	var sizes chunkSizes
	for {
		r.takeBuffered()
		n, err := sizes.next(r)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		if n > r.limit-len(r.buf) {
			return fasthttp.ErrBodyTooLarge
		}
		if err := r.read(n, r.limit); err != nil {
			return err
		}
		if err := r.readLineEnd(); err != nil {
			return err
		}
	}
	if err := h.ReadTrailer(r.br); err != nil {
		return errors.Newf("read trailer: %w", unexpectedEOF(err))
	}
	if len(r.buf) == 0 {
		h.SetContentLength(0)
	}
	return nil
}

// takeBuffered takes the chunks that have arrived completely, as far as there is room in the buffer. It makes tiny chunks cheap, and
// leaves everything else, such as the last chunk, to the caller.
func (r *bodyReader) takeBuffered() {
	b, _ := r.br.Peek(r.br.Buffered())
	taken := 0
	for {
		size, digits := 0, 0
		for rest := b[taken:]; digits < len(rest) && digits < maxChunkDigits; digits++ {
			d, ok := hexDigit(rest[digits])
			if !ok {
				break
			}
			size = size<<4 | d
		}
		data := taken + digits + len(lineEnd)
		end := data + size
		if digits == 0 || size == 0 || size > cap(r.buf)-len(r.buf) || size > r.limit-len(r.buf) || end+len(lineEnd) > len(b) ||
			string(b[data-len(lineEnd):data]) != lineEnd || string(b[end:end+len(lineEnd)]) != lineEnd {
			break
		}
		r.buf = append(r.buf, b[data:end]...)
		taken = end + len(lineEnd)
	}
	_, _ = r.br.Discard(taken)
}

// lineEnd ends the size and the data of a chunk.
const lineEnd = "\r\n"

// readLineEnd reads the end of the line after the data of a chunk.
func (r *bodyReader) readLineEnd() error {
	for _, want := range []byte(lineEnd) {
		c, err := r.readByte()
		if err != nil {
			return err
		}
		if c != want {
			return errors.New("chunk is longer than announced")
		}
	}
	return nil
}

// readByte reads a byte of the framing.
func (r *bodyReader) readByte() (byte, error) {
	if err := r.beforeRead(); err != nil {
		return 0, err
	}
	c, err := r.br.ReadByte()
	return c, unexpectedEOF(err)
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err //nolint:wrapcheck // The parser's callers look at the error of the connection.
}

// maxChunkOverhead limits the bytes of chunk sizes and their extensions beyond 16 bytes and twice the data of each chunk.
const maxChunkOverhead = 16 << 10

// maxChunkDigits limits the digits of a chunk size, so that it does not overflow.
const maxChunkDigits = 15

// chunkSizes reads the lines with the sizes of chunks.
type chunkSizes struct {
	// overhead is the number of bytes beyond the allowance of the chunks so far.
	overhead int
}

// next reads the line before a chunk and returns the size of the chunk.
func (s *chunkSizes) next(r *bodyReader) (int, error) {
	size, digits, c, err := readSize(r)
	if err != nil {
		return 0, err
	}
	extra, err := s.skipExtension(r, c)
	if err != nil {
		return 0, err
	}
	if c, err = r.readByte(); err != nil {
		return 0, err
	}
	if c != '\n' {
		return 0, errors.New("chunk size is not followed by the end of its line")
	}
	s.overhead = max(0, s.overhead+digits+extra-chunkAllowance-2*size)
	return size, nil
}

// chunkAllowance is the length of a line before a chunk that does not count as overhead.
const chunkAllowance = 16

// readSize reads the size of a chunk. It returns the number of its digits and the byte after it as well.
func readSize(r *bodyReader) (int, int, byte, error) {
	for size, digits := 0, 0; ; digits++ {
		c, err := r.readByte()
		if err != nil {
			return 0, 0, 0, err
		}
		d, ok := hexDigit(c)
		switch {
		case !ok && digits == 0:
			return 0, 0, 0, errors.New("chunk size is not a number")
		case !ok:
			return size, digits, c, nil
		case digits == maxChunkDigits:
			return 0, 0, 0, errors.New("chunk size has too many digits")
		}
		size = size<<4 | d
	}
}

// skipExtension reads up to the carriage return after the size of a chunk, from c on, and returns the number of bytes before it.
func (s *chunkSizes) skipExtension(r *bodyReader, c byte) (int, error) {
	n, space, extension := 0, false, false
	for c != '\r' {
		isSpace := c == ' ' || c == '\t'
		space = space || isSpace
		extension = extension || c == ';' && !space
		if n++; c == '\n' || !extension && !isSpace || s.overhead+n > maxChunkOverhead {
			return 0, errors.New("chunk extension is malformed or too long")
		}
		var err error
		if c, err = r.readByte(); err != nil {
			return 0, err
		}
	}
	return n, nil
}

func hexDigit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10, true
	default:
		return 0, false
	}
}
