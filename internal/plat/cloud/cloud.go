// Package cloud describes the API of the platform that one node at a time calls.
package cloud

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of calls. Each call returns one of them, wrapped, or nil.
var (
	// ErrRateLimited means that the call was not executed, because there are too many calls.
	ErrRateLimited = errors.New("too many calls")
	// ErrUnavailable means that the call was not executed.
	ErrUnavailable = errors.New("call not executed")
	// ErrUnknown means that the call may or may not have been executed.
	ErrUnknown = errors.New("outcome of the call unknown")
)

// Call says in whose name a call is made.
type Call struct {
	// Holder is the name of the node that holds the duty.
	Holder string
	// Fence is the fencing number of its tenure.
	Fence uint64
	// SendBy is the time after which the call is not sent, zero for none.
	SendBy time.Time
}

// Window is the number of a window of time: window k begins k times the length of a window after 1970-01-01.
type Window uint64

// Counts holds numbers of requests by client account.
type Counts map[string]uint64

// API is the platform's API. It is safe for concurrent use, and calls end with their context.
type API interface {
	// ReportUsage reports the requests that began to run in a window. It may be repeated with the same counts.
	ReportUsage(ctx context.Context, c Call, w Window, counts Counts) error
	// Scale sets the desired number of backend servers of a service in a data centre. It may be repeated.
	Scale(ctx context.Context, c Call, service, dataCentre string, desired int) error
}
