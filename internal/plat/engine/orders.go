package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrFenced means that the engine refused an order because it has seen a higher fencing number.
var ErrFenced = errors.New("order carries an old fencing number")

// Weights are a version of a model that an engine holds in memory.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Kinds of orders.
const (
	// OrderLoad takes weights into memory beside those in use.
	OrderLoad = "load"
	// OrderJoin loads the weights if need be and makes the host a member of the group.
	OrderJoin = "join"
	// OrderDrop ends the membership and keeps the weights.
	OrderDrop = "drop"
)

// Order is a declarative order to the engine of one host; a repeated order changes nothing.
type Order struct {
	Kind       string `json:"kind"`
	Fence      uint64 `json:"fence"`
	Group      string `json:"group,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	// Hosts are the members of the group, leader first.
	Hosts    []string `json:"hosts,omitempty"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Order sends an order. Success means that the engine took it, not that it has been carried out; the
// load report shows that. After any error but ErrFenced the order may still take effect.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Newf("encode order: %w", err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(PathOrders)
	req.Header.SetHost(c.addr)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	resp, err := c.pool.Do(ctx, req, time.Time{})
	if err != nil {
		return errors.Newf("send order: %w", err)
	}
	defer resp.Close()
	ignoreBody(resp)
	switch status := resp.Header.StatusCode(); status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return errors.Newf("send order: status %d", status)
	}
}
