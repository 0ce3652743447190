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

// node is an operators' address over a stand-in table.
type node struct {
	t        *testing.T
	url      string
	platform *store.Store
	configs  *apply.Store
	view     atomic.Pointer[view.View]
	cut      atomic.Bool
	broken   atomic.Bool
	hold     *holdingTable
	*fake.Node
}

func (n *node) Fleet(ctx context.Context) []admin.NodeStatus {
	if n.broken.Load() {
		panic("broken fleet")
	}
	return n.Node.Fleet(ctx)
}

func (n *node) MayCommit() error {
	if n.cut.Load() {
		return errors.New("hears 1 of 6 nodes")
	}
	return nil
}

// holdingTable can keep a commit back and lose its answer.
type holdingTable struct {
	*store.Store
	lose atomic.Bool
	held atomic.Pointer[table.Txn]
}

func (h *holdingTable) Commit(ctx context.Context, txn table.Txn) (uint64, error) {
	if h.lose.Load() {
		h.held.Store(&txn)
		return 0, table.ErrUnknown
	}
	return h.Store.Commit(ctx, txn)
}

// document is valid and has entries in every part.
func document() *schema.Document {
	at := site.Addresses{Instances: []string{"10.0.1.1:80", "10.0.1.2:80", "10.0.1.3:80"}}
	for _, port := range []string{"1", "2", "3", "4", "5", "6"} {
		at.Runners = append(at.Runners, "10.0.0.1:"+port)
	}
	doc := site.Strygekurv().WithRunners(len(at.Runners)).Document(at)
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

// burn reads the snapshots of the platform.
func (n *node) burn(ctx context.Context) (burn.Snapshots, error) {
	return burn.Load(ctx, n.platform.Objects(), time.Now())
}

// start runs an operators' address with version 1 of the document.
func start(t *testing.T, key string) *node {
	t.Helper()
	n := &node{t: t, platform: store.New()}
	n.hold = &holdingTable{Store: n.platform}
	n.configs = apply.New(n.hold, time.Now)
	n.view.Store(view.New(0, &schema.Document{}))
	accepted := func(e apply.Entry) { n.view.Store(view.New(e.Version, e.Document)) }
	n.Node = fake.New("node-0", "vejle", n.view.Load, accepted)
	e, err := n.configs.Commit(t.Context(), 0, "first", document())
	if err != nil {
		t.Fatal(err)
	}
	accepted(e)
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

// browser is an operator's browser.
type browser struct {
	n *node
	c *http.Client
}

// answer is a page or a body of the API.
type answer struct {
	status int
	path   string
	body   string
	header http.Header
}

func (n *node) browser() *browser {
	jar, _ := cookiejar.New(nil)
	return &browser{n: n, c: &http.Client{Jar: jar, Timeout: 20 * time.Second}}
}

// login returns a browser with a session.
func (n *node) login(author string) *browser {
	n.t.Helper()
	b := n.browser()
	f := b.get("/login").form(n.t, "/login")
	f.Set("author", author)
	f.Set("key", operatorKey)
	if a := b.post("/login", f); a.path != "/" || a.status != http.StatusOK {
		n.t.Fatalf("login: status %d at %s", a.status, a.path)
	}
	return b
}

func (b *browser) do(method, path string, body io.Reader, header map[string]string) answer {
	b.n.t.Helper()
	req, err := http.NewRequestWithContext(b.n.t.Context(), method, b.n.url+path, body)
	if err != nil {
		b.n.t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := b.c.Do(req)
	if err != nil {
		b.n.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		b.n.t.Fatal(err)
	}
	return answer{status: resp.StatusCode, path: resp.Request.URL.Path, body: string(raw), header: resp.Header}
}

func (b *browser) get(path string) answer { return b.do("GET", path, nil, nil) }

func (b *browser) post(path string, f url.Values) answer {
	b.n.t.Helper()
	return b.do("POST", path, strings.NewReader(f.Encode()), map[string]string{
		"Origin": b.n.url, "Content-Type": "application/x-www-form-urlencoded",
	})
}

// api calls the API with the operator key.
func (n *node) api(method, path string, in, out any) int {
	n.t.Helper()
	raw, err := json.Marshal(in)
	if err != nil {
		n.t.Fatal(err)
	}
	a := n.browser().do(method, path, bytes.NewReader(raw), map[string]string{"Authorization": "Bearer " + operatorKey})
	if out != nil {
		if err := json.Unmarshal([]byte(a.body), out); err != nil {
			n.t.Fatalf("%s %s: %v in %s", method, path, err, a.body)
		}
	}
	return a.status
}

func (n *node) apply(base uint64, doc *schema.Document) (int, admin.Problem) {
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

func match(re *regexp.Regexp, s string) string {
	if m := re.FindStringSubmatch(s); m != nil {
		return html.UnescapeString(m[1])
	}
	return ""
}

// form returns what a browser would send for the first form with an action, without any button.
func (a answer) form(t *testing.T, action string) url.Values {
	t.Helper()
	out := url.Values{}
	for _, f := range formTag.FindAllStringSubmatch(a.body, -1) {
		if f[1] != action {
			continue
		}
		for _, c := range control.FindAllStringSubmatch(f[0], -1) {
			switch {
			case c[1] != "":
				if !strings.Contains(c[1], `type="checkbox"`) || strings.Contains(c[1], " checked") {
					out.Set(match(attrName, c[1]), match(attrVal, c[1]))
				}
			case c[2] != "":
				out.Set(match(attrName, c[2]), strings.ReplaceAll(html.UnescapeString(c[3]), "\n", "\r\n"))
			default:
				out.Set(match(attrName, c[4]), match(selected, c[5]))
			}
		}
		return out
	}
	t.Fatalf("status %d: the page has no form %s:\n%s", a.status, action, a.body)
	return nil
}

func (a answer) expect(t *testing.T, status int, texts ...string) {
	t.Helper()
	if a.status != status {
		t.Errorf("%s: status %d, want %d", a.path, a.status, status)
	}
	for _, want := range texts {
		if !strings.Contains(a.body, want) {
			t.Errorf("%s lacks %q:\n%s", a.path, want, a.body)
		}
	}
}
