// Package schema contains the JSON Schema of the configuration document and the Go types generated from it.
package schema

import _ "embed"

//go:generate go tool -modfile=../../../tools/go.mod go-jsonschema --only-models --disable-custom-types-for-maps --tags json -p schema -t -o document.gen.go config.schema.json

// ConfigSchema is the JSON Schema of the configuration document.
//
//go:embed config.schema.json
var ConfigSchema []byte

// Defaults of optional fields. They must match the defaults in the schema, which the generated types do not
// apply. Zero stands for an absent field, so the schema does not allow zero in a field with such a default.
const (
	defaultBodyBytes          = 1 << 20
	defaultRequestBufferBytes = 64 << 10
	defaultAccountBufferBytes = 64 << 20
	defaultNodeBufferBytes    = 256 << 20
	defaultQueueRequests      = 512
	defaultQueueTimeoutMs     = 2_000
	defaultRequestTimeoutMs   = 120_000
	defaultCrashRuns          = 2
	defaultContextTokens      = 8_192
	defaultRouteTimeoutMs     = 30_000
	defaultPriority           = 5
	defaultFirstTokenMs       = 2_000
	defaultBetweenTokensMs    = 36
)

// WithDefaults returns a copy of l in which each zero field that has a default is set to it.
func (l Limits) WithDefaults() Limits {
	l.BodyBytes = orDefault(l.BodyBytes, defaultBodyBytes)
	l.RequestBufferBytes = orDefault(l.RequestBufferBytes, defaultRequestBufferBytes)
	l.AccountBufferBytes = orDefault(l.AccountBufferBytes, defaultAccountBufferBytes)
	l.NodeBufferBytes = orDefault(l.NodeBufferBytes, defaultNodeBufferBytes)
	l.QueueRequests = orDefault(l.QueueRequests, defaultQueueRequests)
	l.QueueTimeoutMs = orDefault(l.QueueTimeoutMs, defaultQueueTimeoutMs)
	l.RequestTimeoutMs = orDefault(l.RequestTimeoutMs, defaultRequestTimeoutMs)
	l.CrashRuns = orDefault(l.CrashRuns, defaultCrashRuns)
	return l
}

// WithDefaults returns a copy of m in which each zero field that has a default is set to it.
func (m Model) WithDefaults() Model {
	m.ContextTokens = orDefault(m.ContextTokens, defaultContextTokens)
	return m
}

// WithDefaults returns a copy of r in which each zero field that has a default is set to it.
func (r ServiceRoute) WithDefaults() ServiceRoute {
	r.TimeoutMs = orDefault(r.TimeoutMs, defaultRouteTimeoutMs)
	return r
}

// WithDefaults returns a copy of a in which each zero field that has a default is set to it.
func (a Account) WithDefaults() Account {
	a.Priority = orDefault(a.Priority, defaultPriority)
	return a
}

// WithDefaults returns a copy of o in which each zero field that has a default is set to it.
func (o Objective) WithDefaults() Objective {
	o.FirstTokenMs = orDefault(o.FirstTokenMs, defaultFirstTokenMs)
	o.BetweenTokensMs = orDefault(o.BetweenTokensMs, defaultBetweenTokensMs)
	return o
}

// orDefault returns v, or defaultValue if v is zero.
func orDefault[T comparable](v, defaultValue T) T {
	var zero T
	if v == zero {
		return defaultValue
	}
	return v
}
