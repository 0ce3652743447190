package detour

import (
	"context"
	"net"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/node/pass"
)

// nodeListener accepts connections of nodes only.
type nodeListener struct {
	net.Listener
	isNode func(ip string) bool
}

// FromNodes returns a listener that closes connections whose remote IP address isNode does not accept.
func FromNodes(ln net.Listener, isNode func(ip string) bool) net.Listener {
	return nodeListener{Listener: ln, isNode: isNode}
}

// Accept implements net.Listener.
func (l nodeListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // A server compares the error.
		}
		ip, _, err := net.SplitHostPort(nc.RemoteAddr().String())
		if err == nil && l.isNode(ip) {
			return nc, nil
		}
		_ = nc.Close()
	}
}

// Handler handles requests of other nodes. It implements front.Handler.
type Handler struct {
	Detour *Detour
	Relay  *pass.Relay
	// Capacity is the processor time of this node, in cores.
	Capacity float64
	// Stopping reports whether this node is stopping.
	Stopping func() bool
}

var _ front.Handler = Handler{}

// Handle implements front.Handler.
func (h Handler) Handle(ctx context.Context, req *front.Request, w *front.Writer) {
	switch {
	case h.Stopping():
		pass.RefuseForwarded(w, fault.New(fault.NodeDraining, fault.NotRun, "the node is stopping"))
	case !h.Detour.enter(h.Capacity):
		pass.RefuseForwarded(w, fault.New(fault.NodeIsolated, fault.NotRun, "the node has too many requests of other nodes"))
	default:
		defer h.Detour.leave()
		h.Relay.HandleForwarded(ctx, req, w)
	}
}

// enter counts a request of another node, or reports false if there are too many.
func (d *Detour) enter(capacity float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forwarded >= maxForwarded(capacity) {
		return false
	}
	d.forwarded++
	return true
}

func (d *Detour) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forwarded--
}

// Forwarded returns the number of requests of other nodes in progress.
func (d *Detour) Forwarded() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.forwarded
}
