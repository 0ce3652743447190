package spread

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/table"
)

// holdPoll is the time between looks at a direction that is cut.
const holdPoll = 5 * time.Millisecond

// Network makes loopback connections between nodes whose directions can be cut. What is sent in a
// cut direction waits, as it does in TCP, until the direction works again or the connection ends.
type Network struct {
	mu    sync.Mutex
	names map[string]string
	cut   map[[2]string]bool
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{names: make(map[string]string), cut: make(map[[2]string]bool)}
}

// Name gives the node that listens at an address its name.
func (n *Network) Name(addr, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = node
}

// Cut cuts or restores the direction from one node to another.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// CutBoth cuts or restores both directions between two nodes.
func (n *Network) CutBoth(a, b string, cut bool) {
	n.Cut(a, b, cut)
	n.Cut(b, a, cut)
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// Dialer returns the dial function of a node.
func (n *Network) Dialer(from string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[addr]
		n.mu.Unlock()
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err //nolint:wrapcheck // Stands for the plain dialler.
		}
		return &heldConn{Conn: nc, network: n, from: from, to: to}, nil
	}
}

// heldConn is the dialling side of a connection; it holds both directions.
type heldConn struct {
	net.Conn
	network  *Network
	from, to string
	closed   atomic.Bool
	deadline atomic.Int64
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.network.isCut(c.to, c.from) && !c.closed.Load() {
		time.Sleep(holdPoll)
	}
	return n, err //nolint:wrapcheck // Stands for the plain connection.
}

// Write implements net.Conn.
func (c *heldConn) Write(b []byte) (int, error) {
	for c.network.isCut(c.from, c.to) && !c.closed.Load() {
		if d := c.deadline.Load(); d != 0 && time.Now().UnixNano() > d {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(holdPoll)
	}
	return c.Conn.Write(b) //nolint:wrapcheck // Stands for the plain connection.
}

// SetWriteDeadline implements net.Conn.
func (c *heldConn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(0)
	if !t.IsZero() {
		c.deadline.Store(t.UnixNano())
	}
	return c.Conn.SetWriteDeadline(t) //nolint:wrapcheck // Stands for the plain connection.
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close() //nolint:wrapcheck // Stands for the plain connection.
}

// Platform is one node's way to the table and the live list, which can be cut.
type Platform struct {
	table.Table
	hosts.Lister
	down  atomic.Bool
	reads atomic.Uint64
	lists atomic.Uint64
}

// NewPlatform returns a way to t and l without faults.
func NewPlatform(t table.Table, l hosts.Lister) *Platform { return &Platform{Table: t, Lister: l} }

// SetDown makes every call fail without effect, or ends that.
func (p *Platform) SetDown(down bool) { p.down.Store(down) }

// Reads returns the reads of the table so far.
func (p *Platform) Reads() uint64 { return p.reads.Load() }

// Lists returns the reads of the live list so far.
func (p *Platform) Lists() uint64 { return p.lists.Load() }

// Get implements table.Table.
func (p *Platform) Get(ctx context.Context, key string) (table.Row, error) {
	if p.down.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	p.reads.Add(1)
	return p.Table.Get(ctx, key) //nolint:wrapcheck // Stands for the table.
}

// List implements hosts.Lister.
func (p *Platform) List(ctx context.Context) ([]hosts.Host, error) {
	if p.down.Load() {
		return nil, table.ErrUnavailable
	}
	p.lists.Add(1)
	return p.Lister.List(ctx) //nolint:wrapcheck // Stands for the live list.
}
