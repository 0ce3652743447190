package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"geraniumhollow/internal/core/httpd"
	"geraniumhollow/internal/node/front"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// headerBytes bounds the headers of the balancer's questions and of requests for metrics.
const headerBytes = 4 << 10

// ready reports whether the balancer may send connections here: the node knows the configuration and
// the backend servers, and does not stop.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.table.Load() != nil && n.servers.Revision() > 0
}

// answerBalancer tells the balancer whether the node takes new connections.
func (n *Node) answerBalancer(ctx context.Context) error {
	ln, err := front.Silence.Listen(ctx, n.settings.Load().ReadyAddress)
	if err != nil {
		return errors.Newf("listen for the balancer: %w", err)
	}
	s := front.New(front.Config{
		Handler: readiness{n}, Limits: func() front.Limits { return front.Limits{HeaderBytes: headerBytes} }, Log: n.cfg.Log,
	})
	if err := s.Run(ctx, ln); err != nil {
		return errors.Newf("answer the balancer: %w", err)
	}
	return nil
}

// readiness answers the balancer.
type readiness struct {
	n *Node
}

// Handle implements front.Handler.
func (r readiness) Handle(_ context.Context, _ *front.Request, w *front.Writer) {
	status := http.StatusServiceUnavailable
	if r.n.ready() {
		status = http.StatusOK
	}
	w.Refuse(status, nil, []byte(http.StatusText(status)))
}

// serveMetrics serves the metrics page until ctx ends. A node without the page serves on.
func (n *Node) serveMetrics(ctx context.Context) error {
	addr := net.JoinHostPort(n.settings.Load().IP, strconv.Itoa(n.cfg.MetricsPort))
	ln, err := front.Silence.Listen(ctx, addr)
	if err != nil {
		n.cfg.Log.Warn("metrics are not served", "address", addr, "error", err)
		return nil
	}
	srv := &fasthttp.Server{
		Handler: fasthttpadaptor.NewFastHTTPHandler(n.cfg.Metrics.Handler()), ReadBufferSize: headerBytes,
		NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	if err := httpd.Serve(ctx, srv, ln); err != nil {
		return errors.Newf("serve metrics: %w", err)
	}
	return nil
}
