package front

import (
	"bufio"
	"time"

	"geraniumhollow/internal/route/shed"
	"github.com/valyala/fasthttp"
)

// source is a connection that cannot be closed.
type source struct{}

func (source) Shed() {}

// ReadChunked reads a chunked body of at most limit bytes.
func ReadChunked(br *bufio.Reader, limit int) ([]byte, error) {
	r := bodyReader{br: br, share: shed.New(0).Open(time.Now(), "", -1, limit, source{}), limit: limit}
	err := r.readChunked(new(fasthttp.RequestHeader))
	return r.buf, err
}
