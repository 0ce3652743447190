// Package httpd runs HTTP servers until a context ends.
package httpd

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Serve answers connections of ln with srv until ctx ends, and then waits for the requests that run.
func Serve(ctx context.Context, srv *fasthttp.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		// Shutdown does nothing until srv has taken the listener, so a server whose context ended
		// before that would run for ever. Closing the listener ends it either way.
		_ = ln.Close()
		_ = srv.Shutdown()
	})
	defer stop()
	if err := srv.Serve(ln); err != nil {
		return errors.Newf("serve HTTP on %s: %w", ln.Addr(), err)
	}
	return nil
}
