// Package httpd runs HTTP servers until a context is done.
package httpd

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Serve serves connections from ln with srv until ctx is done. It then shuts srv down in the background
// and does not wait for requests in progress.
func Serve(ctx context.Context, srv *fasthttp.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		// Shutdown does nothing until srv has registered the listener, so a server whose context is
		// done before that would run forever. Closing the listener stops the server in both cases.
		_ = ln.Close()
		_ = srv.Shutdown()
	})
	defer stop()
	if err := srv.Serve(ln); err != nil {
		return errors.Newf("serve HTTP on %s: %w", ln.Addr(), err)
	}
	return nil
}
