// Package fault defines the error returned to callers: a code, a message, and an outcome that states
// whether the request ran.
package fault

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a request ran on a backend server, as far as is known.
type Outcome string

const (
	// NotRun guarantees that no backend server started the request.
	NotRun Outcome = "not_run"
	// Ran means that the request ran and its result is known.
	Ran Outcome = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Code identifies the kind of error. Its values are part of the API.
type Code string

// Error codes returned to callers.
const (
	BadRequest             Code = "bad_request"
	Unauthorized           Code = "unauthorized"
	NotFound               Code = "not_found"
	ModelNotFound          Code = "model_not_found"
	MethodNotAllowed       Code = "method_not_allowed"
	BodyTooLarge           Code = "body_too_large"
	HeaderTooLarge         Code = "header_too_large"
	HeaderTimeout          Code = "header_timeout"
	IdempotencyKeyRequired Code = "idempotency_key_required"
	IdempotencyKeyReused   Code = "idempotency_key_reused"
	RequestInProgress      Code = "request_in_progress"
	RateLimited            Code = "rate_limited"
	Overloaded             Code = "overloaded"
	NoBackend              Code = "no_backend_server"
	StoreUnavailable       Code = "store_unavailable"
	NodeIsolated           Code = "node_isolated"
	NodeDraining           Code = "node_draining"
	CrashLimit             Code = "crash_limit_reached"
	PromptQuarantined      Code = "prompt_part_quarantined"
	BackendFailed          Code = "backend_server_failed"
	Timeout                Code = "timeout"
	OutcomeUnknown         Code = "outcome_unknown"
	Internal               Code = "internal"
)

// statuses maps each code to its HTTP status. Codes without an entry use 500.
var statuses = map[Code]int{
	BadRequest:             http.StatusBadRequest,
	Unauthorized:           http.StatusUnauthorized,
	NotFound:               http.StatusNotFound,
	ModelNotFound:          http.StatusNotFound,
	MethodNotAllowed:       http.StatusMethodNotAllowed,
	BodyTooLarge:           http.StatusRequestEntityTooLarge,
	HeaderTooLarge:         http.StatusRequestHeaderFieldsTooLarge,
	HeaderTimeout:          http.StatusRequestTimeout,
	IdempotencyKeyRequired: http.StatusBadRequest,
	IdempotencyKeyReused:   http.StatusUnprocessableEntity,
	RequestInProgress:      http.StatusConflict,
	RateLimited:            http.StatusTooManyRequests,
	Overloaded:             http.StatusServiceUnavailable,
	NoBackend:              http.StatusServiceUnavailable,
	StoreUnavailable:       http.StatusServiceUnavailable,
	NodeIsolated:           http.StatusServiceUnavailable,
	NodeDraining:           http.StatusServiceUnavailable,
	CrashLimit:             http.StatusUnprocessableEntity,
	PromptQuarantined:      http.StatusServiceUnavailable,
	BackendFailed:          http.StatusBadGateway,
	Timeout:                http.StatusGatewayTimeout,
	OutcomeUnknown:         http.StatusBadGateway,
}

// Error is an error that may be returned to a caller. It is immutable; the With methods return
// modified copies.
type Error struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
	cause      error
}

// New returns an error for a caller. The message must not contain caller input or keys.
func New(code Code, outcome Outcome, message string) *Error {
	return &Error{code: code, outcome: outcome, message: message}
}

// WithRetryAfter returns a copy that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithCause returns a copy that wraps err. The cause is logged and never returned to the caller.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.cause = err
	return &c
}

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.outcome = o
	return &c
}

// Code returns the error code.
func (e *Error) Code() Code { return e.code }

// Outcome returns whether the request ran, as far as is known.
func (e *Error) Outcome() Outcome { return e.outcome }

// Message returns the message for the caller.
func (e *Error) Message() string { return e.message }

// RetryAfter returns the delay before the caller may retry, or 0 if a retry does not help.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status code of the error.
func (e *Error) Status() int {
	if s, ok := statuses[e.code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.code, e.outcome, e.message, e.cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.code, e.outcome, e.message)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }
