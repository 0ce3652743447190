package relay

import (
	"context"
	"io"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

// ErrCallerDisconnected is the cancellation cause of a request whose caller has disconnected.
var ErrCallerDisconnected = errors.New("caller disconnected")

// Answer reads an answer while it is being produced. It must be used by one goroutine only.
type Answer struct {
	log    *stream.Buffer
	reader int
	cancel context.CancelCauseFunc
	ended  bool
}

// Next blocks until the next frame is available. It returns io.EOF after the last frame; any other error
// is a *fault.Error.
func (a *Answer) Next() (stream.Frame, error) {
	f, err := a.log.Next(a.reader)
	// Don't use errors.Is: the error of a failed answer often wraps io.EOF.
	if err == io.EOF {
		a.ended = true
		return stream.Frame{}, io.EOF
	}
	if err != nil {
		return stream.Frame{}, AsFault(err)
	}
	a.ended = f.FinishReason != ""
	return f, nil
}

// Ready reports whether Next would return without blocking.
func (a *Answer) Ready() bool { return a.log.Ready() }

// Close cancels the request if its answer has not been read completely.
func (a *Answer) Close() {
	if !a.ended {
		a.cancel(ErrCallerDisconnected)
	}
}

// deliver passes all frames of the answer to sink and then closes the answer.
func (a *Answer) deliver(sink Sink) *fault.Error {
	defer a.Close()
	for {
		f, err := a.Next()
		if err == io.EOF { // Not errors.Is, see Next.
			return nil
		}
		if err != nil {
			return AsFault(err)
		}
		if err := sink(f); err != nil {
			a.ended = false
			return fault.New(fault.OutcomeUnknown, fault.Unknown, "the caller is gone").WithCause(err)
		}
	}
}

// AsFault returns the *fault.Error that err wraps, or an internal error with err as its cause.
func AsFault(err error) *fault.Error {
	var ferr *fault.Error
	if errors.As(err, &ferr) {
		return ferr
	}
	return fault.New(fault.Internal, fault.Unknown, "the answer ended early").WithCause(err)
}
