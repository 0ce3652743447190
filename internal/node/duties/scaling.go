package duties

import (
	"context"
	"time"

	"geraniumhollow/internal/core/clock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/plat/cloud"
)

// ScaleOrder is a desired number of backend servers of a service in a data centre.
type ScaleOrder struct {
	Service    string
	DataCentre string
	Desired    int
}

// Scaler decides on the desired numbers of backend servers while this node holds the duty. Observe may be called at the same time as
// the other methods, which are called one at a time.
type Scaler interface {
	// Start is called when a tenure of this node begins, before other methods. Nothing is known of the demand before.
	Start(now time.Time, fence uint64)
	// Observe passes on the demand that a process has reported.
	Observe(now time.Time, from usage.Process, demand []usage.Demand)
	// Next returns the orders to send now. It is called several times a second, also while calls of the API are not allowed yet; then,
	// mayCall is false and orders that are returned are not sent.
	Next(now time.Time, mayCall bool) []ScaleOrder
	// Done is called with the result of each order that was sent, and with an error marked cloud.ErrUnavailable for each one that was
	// not. The Scaler returns the order again if it is still wanted; the shell does not repeat it.
	Done(now time.Time, o ScaleOrder, err error)
	// Stop is called when the tenure has ended.
	Stop()
}

// scaleInterval is the time between two decisions of the Scaler.
const scaleInterval = 200 * time.Millisecond

// runScaling runs the Scaler while this node holds the duty and scaling is asked for.
func (d *Duties) runScaling(ctx context.Context) error {
	running, runningFence := false, uint64(0)
	for wait := idleInterval; tasks.Sleep(ctx, wait); {
		d.mu.Lock()
		asked := d.settings.Scale
		d.mu.Unlock()
		tenure, holds := d.cfg.Tenure()
		if wait = scaleInterval; !asked {
			wait = idleInterval
		}
		if running && (!asked || !holds || tenure.Fence != runningFence) {
			running = false
			d.cfg.Scaler.Stop()
		}
		if !asked || !holds {
			continue
		}
		if !running {
			running, runningFence = true, tenure.Fence
			d.cfg.Scaler.Start(time.Now(), tenure.Fence)
		}
		d.scale(ctx, tenure.Fence)
	}
	return nil
}

// scale sends the orders that the Scaler wants to be sent now.
func (d *Duties) scale(ctx context.Context, fence uint64) {
	t, ok := d.cfg.Tenure()
	ok = ok && t.Fence == fence && d.mayCall(clock.Since(), t)
	for _, o := range d.cfg.Scaler.Next(time.Now(), ok) {
		if !ok {
			continue
		}
		err := d.call(ctx, callScale, fence, func(ctx context.Context, api cloud.API, c cloud.Call) error {
			return api.Scale(ctx, c, o.Service, o.DataCentre, o.Desired) //nolint:wrapcheck // The API names the call.
		})
		d.cfg.Log.Info("scaling order", "service", o.Service, "data_centre", o.DataCentre, "desired", o.Desired, "fence", fence, "error", err)
		d.cfg.Scaler.Done(time.Now(), o, err)
	}
}
