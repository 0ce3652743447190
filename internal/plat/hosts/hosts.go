// Package hosts is the client of the platform's list of live and leaving hosts. The list lags: a
// host may be gone before the list says so.
package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"geraniumhollow/internal/plat/conns"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// State is what the platform says of a host.
type State string

// States of a host. A host that is gone is absent from the list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Kind is what a host is for.
type Kind string

// Kinds of hosts.
const (
	Entry  Kind = "entry"
	Engine Kind = "engine"
)

// Host is one entry of the list.
type Host struct {
	Name       string `json:"name"`
	Kind       Kind   `json:"kind"`
	State      State  `json:"state"`
	DataCentre string `json:"data_centre"`
	// PeerAddress is the IP and port for other nodes; empty for engine hosts.
	PeerAddress string `json:"peer_address,omitempty"`
}

// Lister returns the platform's list.
type Lister interface {
	List(ctx context.Context) ([]Host, error)
}

// maxIdle is how long an idle connection is kept.
const maxIdle = 10 * time.Second

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// maxListBytes bounds the list.
const maxListBytes = 16 << 20

// PathHosts is the path of the list.
const PathHosts = "/v1/hosts"

// Client is a Lister that talks HTTP to the platform.
type Client struct {
	addr string
	pool *conns.Pool
}

var _ Lister = (*Client)(nil)

// New returns a client of the live list at addr, an IP and port.
func New(addr string) *Client {
	return &Client{addr: addr, pool: conns.New(addr, conns.Options{IdleTimeout: maxIdle})}
}

// List implements Lister.
func (c *Client) List(ctx context.Context) ([]Host, error) {
	ctx, cancel := conns.WithDefaultTimeout(ctx, defaultTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(PathHosts)
	req.Header.SetHost(c.addr)
	answer, err := c.pool.Fetch(ctx, conns.Exchange{Request: req}, maxListBytes)
	if err != nil {
		return nil, errors.Newf("list hosts: %w", err)
	}
	if status := answer.Header.StatusCode(); status != http.StatusOK {
		return nil, errors.Newf("list hosts: status %d", status)
	}
	var list []Host
	if err := json.Unmarshal(answer.Body, &list); err != nil {
		return nil, errors.Newf("decode host list: %w", err)
	}
	return list, nil
}
