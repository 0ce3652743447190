package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"geraniumhollow/internal/core/httpd"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Limits of readiness checks and of requests for metrics, which have no body. Each port has a few clients with a connection each.
const (
	headerBytes      = 4 << 10
	checkBodyBytes   = 1 << 10
	maxCheckConns    = 64
	metricsReadTime  = 5 * time.Second
	metricsWriteTime = 10 * time.Second
	metricsIdleTime  = 90 * time.Second
)

// ready reports whether the load balancer may send connections to this node: it has a configuration and the list of
// backend servers, and is not stopping.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.table.Load() != nil && n.servers.Revision() != table.Absent
}

// serveReadiness answers the readiness checks of the load balancer until ctx ends.
func (n *Node) serveReadiness(ctx context.Context) error {
	ln, err := front.TCPLimits.Listen(ctx, n.settings.Load().ReadyAddress)
	if err != nil {
		return errors.Newf("listen for readiness checks: %w", err)
	}
	s := front.New(front.Config{
		Handler: readiness{n}, Limits: func() front.Limits { return front.Limits{HeaderBytes: headerBytes, BodyBytes: checkBodyBytes} },
		MaxConnections: maxCheckConns, Log: n.cfg.Log,
	})
	if err := s.Run(ctx, ln); err != nil {
		return errors.Newf("serve readiness checks: %w", err)
	}
	return nil
}

// readiness answers the readiness checks of the load balancer.
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

// serveMetrics serves the metrics page until ctx ends. If it cannot listen, the node runs without the page.
func (n *Node) serveMetrics(ctx context.Context) error {
	addr := net.JoinHostPort(n.settings.Load().IP, strconv.Itoa(n.cfg.MetricsPort))
	ln, err := front.TCPLimits.Listen(ctx, addr)
	if err != nil {
		n.cfg.Log.Warn("cannot listen for metrics requests; running without the metrics page", "address", addr, "error", err)
		return nil
	}
	srv := &fasthttp.Server{
		Handler: fasthttpadaptor.NewFastHTTPHandler(n.cfg.Metrics.Handler()), ReadBufferSize: headerBytes,
		MaxRequestBodySize: checkBodyBytes, ReadTimeout: metricsReadTime, WriteTimeout: metricsWriteTime, IdleTimeout: metricsIdleTime,
		Concurrency: maxCheckConns, NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	if err := httpd.Serve(ctx, srv, ln); err != nil {
		return errors.Newf("serve metrics: %w", err)
	}
	return nil
}
