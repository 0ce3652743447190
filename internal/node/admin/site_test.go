package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"html"
	"io"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	fake "geraniumhollow/internal/fake/node"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/burn"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/report/reason"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

const operatorKey = "a test key"

// testNode runs an admin server on a fake table service.
type testNode struct {
	t           *testing.T
	url         string
	platform    *store.Store
	configs     *apply.Store
	view        atomic.Pointer[view.View]
	isolated    atomic.Bool
	fleetPanics atomic.Bool
	table       *lossyTable
	*fake.Node
}

func (n *testNode) Fleet(ctx context.Context) []admin.NodeStatus {
	if n.fleetPanics.Load() {
		panic("broken fleet")
	}
	return n.Node.Fleet(ctx)
}

func (n *testNode) MayCommit() error {
	if n.isolated.Load() {
		return errors.New("in contact with 1 of 6 nodes")
	}
	return nil
}

// lossyTable can withhold a commit and reply that its outcome is unknown.
type lossyTable struct {
	*store.Store
	loseReply  atomic.Bool
	pendingTxn atomic.Pointer[table.Txn]
}

func (l *lossyTable) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	if l.loseReply.Load() {
		l.pendingTxn.Store(&txn)
		return table.Absent, table.ErrUnknown
	}
	return l.Store.Commit(ctx, txn)
}

// document returns a valid document with entries in every part.
func document() *schema.Document {
	addresses := site.Addresses{Instances: []string{"10.0.1.1:80", "10.0.1.2:80", "10.0.1.3:80"}}
	for _, port := range []string{"1", "2", "3", "4", "5", "6"} {
		addresses.Runners = append(addresses.Runners, "10.0.0.1:"+port)
	}
	doc := site.Strygekurv().WithRunners(len(addresses.Runners)).Document(addresses)
	doc.Models[0].Adapters, doc.Models[0].ContextTokens = []string{"da", "nb"}, 4096
	doc.Models[0].Versions[0].WeightBytes = 9_007_199_254_740_993
	doc.Groups[0].Adapters = []string{"nb"}
	doc.Groups[5].Hosts, doc.Groups[5].FabricDomain, doc.Groups[5].DataCentre = nil, "", "vejle"
	doc.Accounts[1].RequestsPerSecond = 0.1
	doc.Limits.CrashRuns = 3
	doc.Calendars = []schema.Calendar{{Name: "dk", TimeZone: "Europe/Copenhagen", Periods: []schema.Period{{Kind: "holiday", FirstDay: "2026-02-09", LastDay: "2026-02-13"}}}}
	doc.Targets = []schema.Target{{Model: "presse-lm", DataCentre: "vejle", Groups: 1, Calendar: "dk", HolidayGroups: 1}}
	doc.Objectives = []schema.Objective{{Account: "account-00", Model: "presse-lm", FirstTokenMs: 900, Quantile: 0.95}}
	return doc
}

// burn reads the burn snapshots from the fake object store.
func (n *testNode) burn(ctx context.Context) (burn.Snapshots, error) {
	return burn.Load(ctx, n.platform.Objects(), time.Now())
}

// start runs an admin server with the document as version 1.
func start(t *testing.T, key string) *testNode {
	t.Helper()
	n := &testNode{t: t, platform: store.New()}
	n.table = &lossyTable{Store: n.platform}
	n.configs = apply.New(n.table, time.Now)
	n.view.Store(view.New(0, &schema.Document{}))
	accepted := func(e apply.Entry) { n.view.Store(view.New(e.Version, e.Document)) }
	n.Node = fake.New("node-0", "vejle", n.view.Load, accepted)
	e, err := n.configs.Commit(t.Context(), 0, "first", document())
	if err != nil {
		t.Fatal(err)
	}
	accepted(e)
	// For an empty key the hash is empty as well, so that no operator key is set.
	hash := map[string]string{operatorKey: view.HashKey(operatorKey)}[key]
	ctx, cancel := context.WithCancel(t.Context())
	srv, err := admin.New(ctx, admin.Deps{
		Log: hclog.NewNullLogger(), Configs: n.configs, View: n.view.Load, Node: n, Metrics: metric.New().Handler(),
		Reasons: reason.New(100, time.Now), KeyHash: hash, Burn: n.burn, Now: time.Now,
	})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := tasks.New(ctx)
	g.Go("operators", func(ctx context.Context) error { return srv.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	n.url = "http://" + ln.Addr().String()
	return n
}

// browser is an HTTP client with an operator's cookies.
type browser struct {
	node   *testNode
	client *http.Client
}

// response is a response of a page or the API.
type response struct {
	status int
	path   string
	body   string
	header http.Header
}

func (n *testNode) browser() *browser {
	jar, _ := cookiejar.New(nil)
	return &browser{node: n, client: &http.Client{Jar: jar, Timeout: 20 * time.Second}}
}

// login returns a browser that is logged in.
func (n *testNode) login(author string) *browser {
	n.t.Helper()
	b := n.browser()
	f := b.get("/login").form(n.t, "/login")
	f.Set("author", author)
	f.Set("key", operatorKey)
	if resp := b.post("/login", f); resp.path != "/" || resp.status != http.StatusOK {
		n.t.Fatalf("login: status %d at %s", resp.status, resp.path)
	}
	return b
}

func (b *browser) do(method, path string, body io.Reader, header map[string]string) response {
	b.node.t.Helper()
	req, err := http.NewRequestWithContext(b.node.t.Context(), method, b.node.url+path, body)
	if err != nil {
		b.node.t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		b.node.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		b.node.t.Fatal(err)
	}
	return response{status: resp.StatusCode, path: resp.Request.URL.Path, body: string(raw), header: resp.Header}
}

func (b *browser) get(path string) response { return b.do("GET", path, nil, nil) }

func (b *browser) post(path string, f url.Values) response {
	b.node.t.Helper()
	return b.do("POST", path, strings.NewReader(f.Encode()), map[string]string{
		"Origin": b.node.url, "Content-Type": "application/x-www-form-urlencoded",
	})
}

// api calls the API with the operator key.
func (n *testNode) api(method, path string, in, out any) int {
	n.t.Helper()
	raw, err := json.Marshal(in)
	if err != nil {
		n.t.Fatal(err)
	}
	resp := n.browser().do(method, path, bytes.NewReader(raw), map[string]string{"Authorization": "Bearer " + operatorKey})
	if out != nil {
		if err := json.Unmarshal([]byte(resp.body), out); err != nil {
			n.t.Fatalf("%s %s: %v in %s", method, path, err, resp.body)
		}
	}
	return resp.status
}

func (n *testNode) apply(base uint64, doc *schema.Document) (int, admin.Problem) {
	n.t.Helper()
	raw, err := json.Marshal(doc)
	if err != nil {
		n.t.Fatal(err)
	}
	var p admin.Problem
	return n.api("POST", admin.PathApply, admin.ApplyBody{Base: &base, Author: "api", Document: raw}, &p), p
}

var (
	formTag  = regexp.MustCompile(`(?s)<form [^>]*action="([^"]*)".*?</form>`)
	control  = regexp.MustCompile(`(?s)<input ([^>]*)>|<textarea ([^>]*)>\n?(.*?)</textarea>|<select ([^>]*)>(.*?)</select>`)
	attrName = regexp.MustCompile(`\bname="([^"]*)"`)
	attrVal  = regexp.MustCompile(`\bvalue="([^"]*)"`)
	selected = regexp.MustCompile(`<option value="([^"]*)" selected>`)
)

func firstMatch(re *regexp.Regexp, s string) string {
	if m := re.FindStringSubmatch(s); m != nil {
		return html.UnescapeString(m[1])
	}
	return ""
}

// form returns the values that a browser would submit for the first form with the given action, without
// those of buttons.
func (r response) form(t *testing.T, action string) url.Values {
	t.Helper()
	out := url.Values{}
	for _, f := range formTag.FindAllStringSubmatch(r.body, -1) {
		if f[1] != action {
			continue
		}
		for _, c := range control.FindAllStringSubmatch(f[0], -1) {
			switch {
			case c[1] != "":
				if !strings.Contains(c[1], `type="checkbox"`) || strings.Contains(c[1], " checked") {
					out.Set(firstMatch(attrName, c[1]), firstMatch(attrVal, c[1]))
				}
			case c[2] != "":
				out.Set(firstMatch(attrName, c[2]), strings.ReplaceAll(html.UnescapeString(c[3]), "\n", "\r\n"))
			default:
				out.Set(firstMatch(attrName, c[4]), firstMatch(selected, c[5]))
			}
		}
		return out
	}
	t.Fatalf("status %d: the page has no form %s:\n%s", r.status, action, r.body)
	return nil
}

func (r response) expect(t *testing.T, status int, texts ...string) {
	t.Helper()
	if r.status != status {
		t.Errorf("%s: status %d, want %d", r.path, r.status, status)
	}
	for _, want := range texts {
		if !strings.Contains(r.body, want) {
			t.Errorf("%s lacks %q:\n%s", r.path, want, r.body)
		}
	}
}
