// Package hosts is the client of the platform's list of live and leaving hosts. The list lags: a
// host may be gone before the list says so.
package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

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

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// PathHosts is the path of the list.
const PathHosts = "/v1/hosts"

// Client is a Lister that talks HTTP to the platform.
type Client struct {
	hc *fasthttp.HostClient
}

var _ Lister = (*Client)(nil)

// New returns a client of the live list at addr, an IP and port.
func New(addr string) *Client {
	return &Client{hc: &fasthttp.HostClient{Addr: addr}}
}

// List implements Lister.
func (c *Client) List(ctx context.Context) ([]Host, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(PathHosts)
	req.Header.SetHost(c.hc.Addr)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.hc.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.Newf("list hosts: %w", err)
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, errors.Newf("list hosts: status %d", resp.StatusCode())
	}
	var list []Host
	if err := json.Unmarshal(resp.Body(), &list); err != nil {
		return nil, errors.Newf("decode host list: %w", err)
	}
	return list, nil
}
