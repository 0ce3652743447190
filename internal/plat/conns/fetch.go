package conns

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrTooLong means that the body of an answer is longer than the caller takes.
var ErrTooLong = errors.New("answer is too long")

// Whole is an answer that has been read to its end.
type Whole struct {
	Header *fasthttp.ResponseHeader
	Body   []byte
}

// Fetch makes an exchange and reads its answer to the end. A body of more than maxBytes is an error. See Exchange for errors.
func (p *Pool) Fetch(ctx context.Context, x Exchange, maxBytes int) (Whole, error) {
	resp, err := p.Exchange(ctx, x)
	if err != nil {
		return Whole{}, err
	}
	defer resp.Close()
	body, err := readBody(resp, maxBytes)
	if err != nil {
		return Whole{}, err
	}
	return Whole{Header: resp.Header, Body: body}, nil
}

// WithDefaultTimeout returns ctx with a timeout, unless it has a deadline.
func WithDefaultTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, d)
}

// readBody reads a body of at most maxBytes to its end.
func readBody(r io.Reader, maxBytes int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Newf("read body: %w", err)
	}
	if len(body) > maxBytes {
		return nil, errors.Newf("more than %d bytes: %w", maxBytes, ErrTooLong)
	}
	return body, nil
}
