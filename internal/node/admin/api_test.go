package admin_test

import (
	"bufio"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/report/reason"
)

// Guards against wrong replies to a change: an accepted change must be in force, any other must leave the
// version unchanged and report the reason.
func TestApply(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		base    uint64
		change  func(d *schema.Document)
		prepare func(n *testNode)
		status  int
		code    string
		version uint64
	}{
		{"accepted", 1, nil, nil, http.StatusOK, "", 2},
		{"faults", 1, func(d *schema.Document) { d.Groups[0].Model = "x"; d.Hosts[0].FabricDomain = "y" }, nil, http.StatusUnprocessableEntity, admin.CodeInvalid, 1},
		{"table down", 1, nil, func(n *testNode) { n.platform.SetDown(true) }, http.StatusServiceUnavailable, admin.CodeUnavailable, 1},
		{"answer lost", 1, nil, func(n *testNode) { n.platform.LoseResponses(1) }, http.StatusOK, "", 2},
		{"outcome unknown", 1, nil, func(n *testNode) { n.table.loseReply.Store(true) }, http.StatusAccepted, admin.CodeUnknown, 1},
		{"isolated", 1, nil, func(n *testNode) { n.isolated.Store(true) }, http.StatusServiceUnavailable, admin.CodeIsolated, 1},
		{"base that does not exist", 9, nil, nil, http.StatusConflict, admin.CodeConflict, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n := start(t, operatorKey)
			doc := document()
			doc.DataCentres[0].InService = false
			if tt.change != nil {
				tt.change(doc)
			}
			if tt.prepare != nil {
				tt.prepare(n)
			}
			status, p := n.apply(tt.base, doc)
			if status != tt.status || p.Error.Code != tt.code {
				t.Errorf("status %d, code %q; want %d, %q", status, p.Error.Code, tt.status, tt.code)
			}
			if tt.code == admin.CodeInvalid && (len(p.Faults) < 2 || p.Faults[0].Path == "") {
				t.Errorf("faults %v", p.Faults)
			}
			if tt.code == admin.CodeUnknown && (p.Pending == nil || p.Pending.Version != 2 || p.Pending.Token == "") {
				t.Errorf("pending %v", p.Pending)
			}
			n.platform.SetDown(false)
			var current admin.CurrentReply
			n.api("GET", admin.PathConfig, nil, &current)
			if current.Version != tt.version || current.Document.DataCentres[0].InService == (tt.version == 2) {
				t.Errorf("version %d, data centre in service %v", current.Version, current.Document.DataCentres[0].InService)
			}
		})
	}
}

// Guards against a conflict reply that lacks one of the two changes or their overlap.
func TestApplyConflict(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	theirs, mine := document(), document()
	theirs.DataCentres[0].InService = false
	theirs.Limits.CrashRuns = 4
	mine.DataCentres[0].InService = false
	mine.Accounts[0].Share = 9
	if status, _ := n.apply(1, theirs); status != http.StatusOK {
		t.Fatalf("first change: %d", status)
	}
	status, p := n.apply(1, mine)
	conflict := p.Conflict
	if status != http.StatusConflict || conflict == nil || conflict.Base != 1 || conflict.Current != 2 || conflict.Author != "api" {
		t.Fatalf("status %d, conflict %+v", status, conflict)
	}
	if len(conflict.Theirs) != 2 || len(conflict.Mine) != 2 || len(conflict.Overlap) != 1 || conflict.Overlap[0].Path != "$.data_centres[esbjerg].in_service" {
		t.Errorf("theirs %v, mine %v, overlap %v", conflict.Theirs, conflict.Mine, conflict.Overlap)
	}
}

// Guards against wrong reads, and against reads that fail while the table service is down although the node
// has the data.
func TestReads(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	doc := document()
	doc.Limits.CrashRuns = 5
	n.apply(1, doc)
	var history []admin.VersionSummary
	var old apply.Entry
	var diff admin.DiffReply
	var status admin.NodeStatus
	var fleet []admin.NodeStatus
	var decisions []reason.Entry
	var valid admin.ValidReply
	n.api("GET", admin.PathHistory, nil, &history)
	n.api("GET", admin.PathVersions+"1", nil, &old)
	n.api("GET", admin.PathDiff+"?from=1&to=2", nil, &diff)
	n.api("GET", admin.PathStatus, nil, &status)
	n.api("GET", admin.PathFleet, nil, &fleet)
	n.api("GET", admin.PathExplain+"?kind=configuration&subject=node-0", nil, &decisions)
	n.api("POST", admin.PathValidate, doc, &valid)
	if len(history) != 2 || history[0].Version != 2 || history[0].Author != "api" || old.Document.Limits.CrashRuns != 3 {
		t.Errorf("history %v, version 1 has %v", history, old.Document.Limits)
	}
	if len(diff.Changes) != 1 || diff.Changes[0].Path != "$.limits.crash_runs" || !valid.Valid {
		t.Errorf("diff %v, valid %v", diff, valid)
	}
	if status.Version != 2 || !status.Ready || len(fleet) != 1 || len(decisions) != 1 || decisions[0].Decision != "accepted" {
		t.Errorf("status %v, fleet %v, decisions %v", status, fleet, decisions)
	}
	n.platform.SetDown(true)
	var current admin.CurrentReply
	if n.api("GET", admin.PathConfig, nil, &current); current.Version != 2 || !current.Stale || current.Document.Limits.CrashRuns != 5 {
		t.Errorf("with the table down: version %d, stale %v", current.Version, current.Stale)
	}
	for path, want := range map[string]int{
		admin.PathHistory: 503, admin.PathVersions + "1": 503, admin.PathVersions + "x": 400, admin.PathDiff + "?from=x": 400, "/api/none": 404,
	} {
		var p admin.Problem
		if got := n.api("GET", path, nil, &p); got != want || p.Error.Code == "" {
			t.Errorf("%s: status %d, want %d", path, got, want)
		}
	}
	n.fleetPanics.Store(true)
	if got := n.api("GET", admin.PathFleet, nil, nil); got != http.StatusInternalServerError {
		t.Errorf("after a panic: status %d", got)
	}
}

// Guards against access without the operator key, and against a key check that blocks health probes.
func TestAccess(t *testing.T) {
	t.Parallel()
	keyed, bare := start(t, operatorKey), start(t, "")
	tests := []struct {
		name   string
		n      *testNode
		path   string
		auth   string
		status int
		text   string
	}{
		{"health", keyed, "/healthz", "", 200, "ok"},
		{"readiness", keyed, "/readyz", "", 200, "ready"},
		{"metrics", keyed, "/metrics", "", 200, "geraniumhollow_"},
		{"no key", keyed, "/api/config", "", 401, "unauthorized"},
		{"wrong key", keyed, "/api/config", "Bearer other", 401, "unauthorized"},
		{"hash instead of key", keyed, "/api/config", "Bearer " + strings.Repeat("a", 64), 401, "unauthorized"},
		{"key without its scheme", keyed, "/api/config", operatorKey, 401, "unauthorized"},
		{"right key", keyed, "/api/status", "Bearer " + operatorKey, 200, "node-0"},
		{"page without a session", keyed, "/parts/hosts", "", 200, "Operator key"},
		{"node without a key", bare, "/api/config", "Bearer ", 403, "GERANIUMHOLLOW_OPERATOR_KEY_HASH"},
		{"pages of a node without a key", bare, "/", "", 403, "GERANIUMHOLLOW_OPERATOR_KEY_HASH"},
		{"login of a node without a key", bare, "/login", "", 403, "GERANIUMHOLLOW_OPERATOR_KEY_HASH"},
		{"health of a node without a key", bare, "/healthz", "", 200, "ok"},
	}
	for _, tt := range tests {
		resp := tt.n.browser().do("GET", tt.path, nil, map[string]string{"Authorization": tt.auth})
		if resp.status != tt.status || !strings.Contains(resp.body, tt.text) {
			t.Errorf("%s: status %d, want %d with %q", tt.name, resp.status, tt.status, tt.text)
		}
		csp := resp.header.Get("Content-Security-Policy")
		if strings.Contains(csp, "script") || !strings.Contains(csp, "default-src 'none'") || resp.header.Get("X-Frame-Options") != "DENY" {
			t.Errorf("%s: weak headers %v", tt.name, resp.header)
		}
	}
}

// Guards against request bodies that use unbounded memory or are accepted although they are invalid.
func TestBadBodies(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	auth := map[string]string{"Authorization": "Bearer " + operatorKey}
	tests := []struct {
		name, path, body string
		status           int
	}{
		{"not JSON", admin.PathApply, "{", 400},
		{"no base", admin.PathApply, `{"author":"a","document":{}}`, 400},
		{"no document", admin.PathApply, `{"author":"a","base":1}`, 400},
		{"empty document", admin.PathApply, `{"author":"a","base":1,"document":{}}`, 422},
		{"no author", admin.PathApply, `{"base":1,"document":{}}`, 400},
		{"author with a line break", admin.PathApply, `{"author":"a\nb","base":1,"document":{}}`, 400},
		{"document of 3 MB", admin.PathApply, strings.Repeat("x", 3<<20), 400},
		{"validate nothing", admin.PathValidate, "", 422},
	}
	for _, tt := range tests {
		if resp := n.browser().do("POST", tt.path, strings.NewReader(tt.body), auth); resp.status != tt.status {
			t.Errorf("%s: status %d, want %d: %s", tt.name, resp.status, tt.status, resp.body)
		}
	}
	u, _ := url.Parse(n.url)
	cookie := n.login("Asta").client.Jar.Cookies(u)[0].String()
	// Oversized bodies are rejected by Content-Length before they are read; the limit is lower without the key.
	for _, head := range []string{
		"POST " + admin.PathApply + " HTTP/1.1\r\nAuthorization: Bearer " + operatorKey + "\r\nContent-Length: 17000000",
		"POST " + admin.PathApply + " HTTP/1.1\r\nContent-Length: 20000",
		"POST /login HTTP/1.1\r\nAuthorization: Bearer " + operatorKey + "\r\nContent-Length: 20000",
		"POST /changes/confirm HTTP/1.1\r\nCookie: " + cookie + "\r\nContent-Length: 3000000",
	} {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", u.Host)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(head + "\r\nHost: a\r\n\r\n"))
		line, err := bufio.NewReader(conn).ReadString('\n')
		if !strings.Contains(line, " 413 ") {
			t.Errorf("%q: answer %q, %v", head, line, err)
		}
		_ = conn.Close()
	}
}
