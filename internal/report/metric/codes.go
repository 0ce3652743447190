package metric

import "geraniumhollow/internal/core/fault"

// codes are the error codes that have a series of their own.
var codes = []fault.Code{
	fault.BadRequest, fault.Unauthorized, fault.NotFound, fault.ModelNotFound, fault.MethodNotAllowed,
	fault.BodyTooLarge, fault.HeaderTooLarge, fault.HeaderTimeout, fault.IdempotencyKeyRequired,
	fault.IdempotencyKeyReused, fault.RequestInProgress, fault.RateLimited, fault.Overloaded,
	fault.NoBackend, fault.StoreUnavailable, fault.NodeIsolated, fault.NodeDraining, fault.CrashLimit, fault.PromptQuarantined,
	fault.BackendFailed, fault.Timeout, fault.OutcomeUnknown, fault.Internal,
}
