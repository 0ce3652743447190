package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/conns"
	"github.com/valyala/fasthttp"
)

// Guards against a crash of the node, or a request that hangs until its deadline, when an answer has
// no body: a status that has none, and an answer to HEAD that states a length.
func TestAnswerWithoutBody(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		rc.SetStatusCode(http.StatusNoContent)
		if rc.IsHead() {
			rc.SetStatusCode(http.StatusOK)
			rc.SetBodyString("body that HEAD leaves out")
		}
	}}
	g := tasks.New(context.Background())
	g.Go("server", func(context.Context) error { return srv.Serve(ln) })
	t.Cleanup(func() {
		_ = srv.Shutdown()
		_ = g.Wait()
	})
	pool := conns.New(ln.Addr().String(), conns.Options{})
	t.Cleanup(pool.Close)
	for _, method := range []string{http.MethodDelete, http.MethodHead} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		req := fasthttp.AcquireRequest()
		req.Header.SetMethod(method)
		req.Header.SetHost(ln.Addr().String())
		req.SetRequestURI("/")
		resp, err := pool.Do(ctx, req, time.Time{})
		if err != nil {
			t.Fatalf("%s: %v", method, err)
		}
		if body, err := io.ReadAll(resp); err != nil || len(body) != 0 {
			t.Errorf("%s: got %d bytes, %v", method, len(body), err)
		}
		resp.Close()
	}
}
