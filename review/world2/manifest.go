//go:build review2

package main

import "fmt"

// host is that of all routes.
const host = "t.example"

// manifest returns a configuration with a route of each kind: /once/ and /idem/ lead to the plain service app, /stream/ to the model
// servers llm. Groups have two members.
func manifest(version int) []byte {
	route := func(prefix, kind, service, more string) string {
		return fmt.Sprintf(`{"Name":"r-%s","Host":"%s","Prefix":"/%s/","Kind":"%s","Service":"%s"%s}`, prefix, host, prefix, kind, service, more)
	}
	routes := route("once", "non_idempotent", "app", `,"TimeoutMs":3000,"TargetLatencyMs":300,"MaxAttempts":1,"Priority":2`) + "," +
		route("idem", "idempotent", "app", `,"TimeoutMs":3000,"TargetLatencyMs":300,"MaxAttempts":2,"Priority":2`) + "," +
		route("stream", "streaming", "llm", `,"TimeoutMs":8000,"TargetLatencyMs":400,"TargetGapMs":250,"MaxAttempts":2,"Priority":1,"Sticky":true,"Resumable":true`)
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[{"Name":"app","HealthPath":"/health","MaxConns":96},`+
		`{"Name":"llm","HealthPath":"/health","MaxConns":464,"Engine":{"Slots":26,"KvTokens":2470000,"Stride":6,`+
		`"Models":[{"Name":"m0","size":2,"Share":1,"pace":1,"LoadS":1,"WarmS":0.2}],"step_ms":6.45,"per_seq_ms":0.0967,"context_per_k":0.00293,`+
		`"read_per_s":56100,"pairs_per_m":0.309,"chunk":2048,"report_lag_ms":200,"LoadsPerS":5.5,"loads_at_once":8,`+
		`"usual":{"prompt":1420,"answer":180},"RetainCount":1,"FormMs":300}}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},`+
		`"Tenants":[{"Name":"hule930","ApiKeys":["%s"]}]}`, version, routes, accountKey)
}
