package relay

import (
	"context"
	"io"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

// ErrCallerGone is the cause with which a request is cancelled whose caller cannot be reached any more.
var ErrCallerGone = errors.New("caller is gone")

// Answer is an answer that is being produced. One goroutine reads it.
type Answer struct {
	log    *stream.Log
	reader int
	cancel context.CancelCauseFunc
	last   bool
}

// Next waits for the next frame. It returns io.EOF after the last frame; any other error is a
// *fault.Error.
func (a *Answer) Next() (stream.Frame, error) {
	f, err := a.log.Next(a.reader)
	// Compared by value: the error of a failed answer often has io.EOF among its causes.
	if err == io.EOF {
		a.last = true
		return stream.Frame{}, io.EOF
	}
	if err != nil {
		return stream.Frame{}, AsFault(err)
	}
	a.last = f.Finish != ""
	return f, nil
}

// Ready reports whether Next returns without waiting.
func (a *Answer) Ready() bool { return a.log.Ready() }

// Close ends the request if its answer has not been read to its end.
func (a *Answer) Close() {
	if !a.last {
		a.cancel(ErrCallerGone)
	}
}

// deliver passes the answer to sink and closes it.
func (a *Answer) deliver(sink Sink) *fault.Error {
	defer a.Close()
	for {
		f, err := a.Next()
		if err == io.EOF { // As in Next.
			return nil
		}
		if err != nil {
			return AsFault(err)
		}
		if err := sink(f); err != nil {
			a.last = false
			return fault.New(fault.OutcomeUnknown, fault.Unknown, "the caller is gone").WithCause(err)
		}
	}
}

// AsFault returns the error for a caller that err holds.
func AsFault(err error) *fault.Error {
	var ferr *fault.Error
	if errors.As(err, &ferr) {
		return ferr
	}
	return fault.New(fault.Internal, fault.Unknown, "the answer ended early").WithCause(err)
}
