package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/admin"
)

const (
	previewAction = "/changes/preview"
	confirmAction = "/changes/confirm"
)

var editLink = regexp.MustCompile(`href="(/parts/[a-z_]+/edit\?id=[^"]*)"`)

// editPages returns the paths of the forms of every entry of every part.
func editPages(b *browser) []string {
	paths := []string{"/parts/limits/edit"}
	for _, part := range []string{
		"regions", "data_centres", "distances", "fabric_domains", "hosts", "models", "groups", "services", "accounts",
		"calendars", "targets", "objectives",
	} {
		for _, m := range editLink.FindAllStringSubmatch(b.get("/parts/"+part).body, -1) {
			paths = append(paths, m[1])
		}
	}
	return paths
}

// Guards against a form that changes the document when it is submitted unmodified.
func TestRoundTrip(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	b := n.login("Asta")
	pages := editPages(b)
	if want := 1 + 1 + 3 + 3 + 3 + 12 + 1 + 6 + 1 + 10 + 1 + 1 + 1; len(pages) != want {
		t.Errorf("%d forms, want %d", len(pages), want)
	}
	expectUnchanged(t, b, pages)
	// Repeats the check with every optional field set, some to their defaults, and with special characters.
	doc := document()
	doc.Regions[0].IsolationPolicy = schema.RegionIsolationPolicyServeLocal
	doc.Models[0].Adapters[0] = `a&"<b>'`
	doc.Services[0].Routes[0].PathPrefix, doc.Services[0].Routes[0].TimeoutMs = `/"&<%20>`, 30_000
	doc.Services[0].Backends[0].OutOfService, doc.Groups[0].OutOfService = true, true
	doc.Accounts[0].TokensPerSecond, doc.Accounts[0].KeyHashes = 1e9, []string{}
	doc.Limits = doc.Limits.WithDefaults()
	doc.Targets[0].TermStartGroups, doc.Objectives[0].Quantile, doc.Objectives[0].BetweenTokensMs = 2, 0.999999, 36
	if status, p := n.apply(1, doc); status != http.StatusOK {
		t.Fatalf("second document: %v", p)
	}
	expectUnchanged(t, b, pages)
}

func expectUnchanged(t *testing.T, b *browser, pages []string) {
	t.Helper()
	for _, path := range pages {
		part := strings.Split(path, "/")[2]
		action := "/parts/" + part + "/preview"
		resp := b.post(action, b.get(path).form(t, action))
		if resp.status != http.StatusOK || !strings.Contains(resp.body, "This changes nothing") {
			t.Errorf("%s: status %d:\n%s", path, resp.status, resp.body)
		}
		// Going back from the preview to the form keeps the entry as well.
		again := b.post("/changes/edit", resp.form(t, "/changes/edit")).form(t, action)
		if resp := b.post(action, again); !strings.Contains(resp.body, "This changes nothing") {
			t.Errorf("%s: changed after going back", path)
		}
	}
}

// Guards against form changes that do not reach the document, or that are committed without a preview.
func TestChanges(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		path   string
		action string
		fill   url.Values
		shown  []string
		check  func(d *schema.Document) bool
	}{
		{"data centre out of service", "/parts/data_centres/switch?id=vejle", "", nil, []string{"$.data_centres[vejle].in_service"}, func(d *schema.Document) bool { return !d.DataCentres[2].InService }},
		{"host out of service", "/parts/hosts/switch?id=host-000-01", "", nil, []string{"$.hosts[host-000-01].in_service"}, func(d *schema.Document) bool { return !d.Hosts[1].InService }},
		{"group out of service", "/parts/groups/switch?id=presse-lm-001", "", nil, []string{"$.groups[presse-lm-001].out_of_service"}, func(d *schema.Document) bool { return d.Groups[1].OutOfService }},
		{"remove", "/parts/objectives/remove?id=account-00~presse-lm", "", nil, []string{"$.objectives"}, func(d *schema.Document) bool { return len(d.Objectives) == 0 }},
		{"limits", "/parts/limits/edit", "/parts/limits/preview", url.Values{"f.crash_runs": {"7"}}, []string{"$.limits.crash_runs"}, func(d *schema.Document) bool { return d.Limits.CrashRuns == 7 }},
		{"empty a field", "/parts/limits/edit", "/parts/limits/preview", url.Values{"f.crash_runs": {""}}, []string{"not set"}, func(d *schema.Document) bool { return d.Limits.CrashRuns == 0 }},
		{"add", "/parts/hosts/new", "/parts/hosts/preview", url.Values{"f.name": {"spare-0"}, "f.fabric_domain": {"vejle-fabric"}, "f.accelerators": {"8"}, "f.in_service": {"on"}}, []string{"$.hosts[spare-0]"}, func(d *schema.Document) bool { return d.Hosts[12].Accelerators == 8 && d.Hosts[12].InService }},
		{"rename", "/parts/calendars/edit?id=dk", "/parts/calendars/preview", url.Values{"f.periods[0].kind": {"exam_week"}}, []string{"exam_week"}, func(d *schema.Document) bool { return d.Calendars[0].Periods[0].Kind == "exam_week" }},
		{"lines", "/parts/models/edit?id=presse-lm", "/parts/models/preview", url.Values{"f.adapters": {"da\r\n\r\n nb \r\nse"}}, []string{"$.models[presse-lm].adapters[se]"}, func(d *schema.Document) bool { return strings.Join(d.Models[0].Adapters, ",") == "da,nb,se" }},
		{"nested number", "/parts/services/edit?id=kurv-app", "/parts/services/preview", url.Values{"f.backends[1].capacity.warm_requests": {"300"}}, []string{"warm_requests"}, func(d *schema.Document) bool { return d.Services[0].Backends[1].Capacity.WarmRequests == 300 }},
		{"remove a row", "/parts/services/edit?id=kurv-app", "/parts/services/preview", url.Values{"remove.routes[2]": {"on"}}, []string{"/bookings"}, func(d *schema.Document) bool { return len(d.Services[0].Routes) == 2 }},
		{"go back", "/history/restore?version=1", "", nil, []string{"$.limits.queue_requests"}, func(d *schema.Document) bool { return d.Limits.QueueRequests == 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n := start(t, operatorKey)
			second := document()
			second.Limits.QueueRequests = 99
			n.apply(1, second)
			b := n.login("Asta")
			preview := b.get(tt.path)
			if tt.action != "" {
				f := preview.form(t, tt.action)
				maps.Copy(f, tt.fill)
				preview = b.post(tt.action, f)
			}
			preview.expect(t, http.StatusOK, tt.shown...)
			if v := n.view.Load().Version; v != 2 {
				t.Fatalf("the preview made version %d", v)
			}
			b.post(confirmAction, preview.form(t, confirmAction)).expect(t, http.StatusOK, "Version 3 was accepted")
			e, err := n.configs.Entry(t.Context(), 3)
			if err != nil || e.Author != "Asta" || !tt.check(e.Document) {
				t.Errorf("version 3 by %q, %v: not the change", e.Author, err)
			}
			if tt.name != "go back" && e.Document.Limits.QueueRequests != 99 {
				t.Error("another part of the document changed")
			}
		})
	}
}

// Guards against faults that are not shown at their field, and against entered values that are lost.
func TestFaultsAtFields(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	b := n.login("Asta")
	tests := []struct {
		name, path, part, field, value, fault string
	}{
		{"pattern", "/parts/hosts/new", "hosts", "f.name", "Bad Name", `id="f-name-fault"`},
		{"required", "/parts/hosts/new", "hosts", "f.accelerators", "", `id="f-accelerators-fault"`},
		{"number", "/parts/hosts/edit?id=host-000-00", "hosts", "f.accelerators", "four", `id="f-accelerators-fault"`},
		{"bound", "/parts/limits/edit", "limits", "f.crash_runs", "11", `id="f-crash_runs-fault"`},
		{"reference", "/parts/hosts/edit?id=host-000-00", "hosts", "f.fabric_domain", "none", `there is no fabric domain`},
		{"line", "/parts/groups/edit?id=presse-lm-000", "groups", "f.hosts", "host-000-00\r\nhost-001-00", `line 2: host`},
		{"nested", "/parts/groups/edit?id=presse-lm-000", "groups", "f.capacity.cold_requests", "65", `id="f-capacity-cold_requests-fault"`},
		{"row", "/parts/models/edit?id=presse-lm", "models", "f.versions[0].weight_bytes", "-1", `id="f-versions-0-weight_bytes-fault"`},
		{"elsewhere", "/parts/models/edit?id=presse-lm", "models", "f.name", "other", `$.groups[presse-lm-000].model`},
	}
	for _, tt := range tests {
		action := "/parts/" + tt.part + "/preview"
		f := b.get(tt.path).form(t, action)
		f.Set(tt.field, tt.value)
		resp := b.post(action, f)
		resp.expect(t, http.StatusUnprocessableEntity, tt.fault)
		if got := resp.form(t, action).Get(tt.field); got != tt.value {
			t.Errorf("%s: the field shows %q after the fault, want %q", tt.name, got, tt.value)
		}
	}
	b.get("/parts/models/remove?id=presse-lm").expect(t, http.StatusUnprocessableEntity, "not possible", "$.groups[presse-lm-000].model")
}

// Guards against lists and a history whose later pages are not reachable.
func TestLongLists(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	doc := document()
	for i := range 150 {
		doc.Hosts = append(doc.Hosts, schema.Host{Name: fmt.Sprintf("spare-%03d", i), FabricDomain: "vejle-fabric", InService: true})
	}
	n.apply(1, doc)
	for base := uint64(2); base < 25; base++ {
		doc.Limits.QueueRequests = int(base)
		n.apply(base, doc)
	}
	b := n.login("Asta")
	b.get("/parts/hosts").expect(t, http.StatusOK, "1 to 100 of 162", "from=101", `href="/parts/hosts" aria-current="page"`)
	b.get("/parts/hosts?from=101").expect(t, http.StatusOK, "101 to 162 of 162", "spare-149", "from=1")
	b.get("/parts/hosts?q=SPARE-14").expect(t, http.StatusOK, "1 to 10 of 10")
	b.get("/parts/hosts?q=herning").expect(t, http.StatusOK, "1 to 4 of 4")
	b.get("/parts/hosts?q=nothing&from=999").expect(t, http.StatusOK, "No entries")
	b.get("/history").expect(t, http.StatusOK, ">25<", ">6<", "before=6", "in force")
	older := b.get("/history?before=6")
	older.expect(t, http.StatusOK, ">5<", ">1<", "restore?version=5")
	if strings.Contains(older.body, "in force") {
		t.Error("an old version is shown as in force")
	}
}

// Guards against a form in which adding a row needs JavaScript or loses entered values.
func TestAddRow(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	b := n.login("Asta")
	const action = "/parts/calendars/preview"
	f := b.get("/parts/calendars/edit?id=dk").form(t, action)
	f.Set("add", "periods")
	f.Set("f.time_zone", "Europe/Oslo")
	grown := b.post(action, f).form(t, action)
	if grown.Get("rows.periods") != "2" || grown.Get("f.time_zone") != "Europe/Oslo" {
		t.Fatalf("after adding a row: %v", grown)
	}
	grown.Set("f.periods[1].kind", "term_start")
	grown.Set("f.periods[1].first_day", "2026-08-10")
	grown.Set("f.periods[1].last_day", "2026-08-14")
	b.post(action, grown).expect(t, http.StatusOK, "2026-08-10", "Europe/Oslo")
}

// Guards against an account key that is stored in plain text, shown more than once, or not accepted.
func TestNewKey(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	b := n.login("Asta")
	const action = "/parts/accounts/preview"
	f := b.get("/parts/accounts/edit?id=account-00").form(t, action)
	f.Set("action", "new_key")
	bad := maps.Clone(f)
	bad.Set("f.share", "0")
	if hashes := b.post(action, bad).form(t, action).Get("f.key_hashes"); strings.Contains(strings.TrimSpace(hashes), "\n") {
		t.Errorf("a key that was never shown stays in the form: %q", hashes)
	}
	preview := b.post(action, f)
	key := firstMatch(regexp.MustCompile(`<code class="key">([^<]+)</code>`), preview.body)
	done := b.post(confirmAction, preview.form(t, confirmAction))
	done.expect(t, http.StatusOK, "Version 2 was accepted")
	account, ok := n.view.Load().AccountByKey(key)
	if len(key) < 40 || !ok || account.Name != "account-00" || len(account.KeyHashes) != 2 {
		t.Errorf("key of %d characters, known %v", len(key), ok)
	}
	raw, _ := json.Marshal(n.view.Load().Document())
	for _, body := range []string{string(raw), done.body, b.get("/parts/accounts/edit?id=account-00").body, b.get("/history/changes?from=1&to=2").body} {
		if strings.Contains(body, key) {
			t.Error("the key is shown or stored after its preview")
		}
	}
}

// Guards against a conflict that loses one of the two changes or is not shown.
func TestConflictPage(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		theirs func(d *schema.Document)
		page   []string
		want   string
	}{
		{"other field of the same entry", func(d *schema.Document) { d.Hosts[12].Address = "10.9.9.9:1" }, []string{"$.hosts[spare].address", "$.hosts[spare].accelerators"}, "10.9.9.9:1 8"},
		{"same field", func(d *schema.Document) { d.Hosts[12].Accelerators = 2 }, []string{"<strong>overlaps</strong>"}, " 8"},
		{"they removed it", func(d *schema.Document) { d.Hosts = d.Hosts[:12] }, []string{"<strong>overlaps</strong>"}, " 8"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n := start(t, operatorKey)
			base, theirs := document(), document()
			spare := schema.Host{Name: "spare", FabricDomain: "vejle-fabric", Accelerators: 4, InService: true}
			base.Hosts, theirs.Hosts = append(base.Hosts, spare), append(theirs.Hosts, spare)
			tt.theirs(theirs)
			n.apply(1, base)
			b := n.login("Asta")
			const action = "/parts/hosts/preview"
			f := b.get("/parts/hosts/edit?id=spare").form(t, action)
			f.Set("f.accelerators", "8")
			preview := b.post(action, f)
			n.apply(2, theirs)
			conflict := b.post(confirmAction, preview.form(t, confirmAction))
			conflict.expect(t, http.StatusConflict, append(tt.page, "by api", "on version 3")...)
			again := b.post(previewAction, conflict.form(t, previewAction))
			b.post(confirmAction, again.form(t, confirmAction)).expect(t, http.StatusOK, "Version 4 was accepted")
			h := n.view.Load().Document().Hosts[12]
			if got := h.Address + " 8"; h.Accelerators != 8 || got != tt.want {
				t.Errorf("got %q with %d accelerators, want %q", got, h.Accelerators, tt.want)
			}
		})
	}
}

// Guards against accepting more than one of several concurrent changes to the same base version, some made
// through pages and some through the API.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	const racers = 4
	results := make(chan int, 2*racers)
	g := tasks.New(t.Context())
	browsers, forms := make([]*browser, racers), make([]url.Values, racers)
	for i := range racers {
		browsers[i] = n.login("Asta")
		forms[i] = browsers[i].get("/parts/data_centres/switch?id=vejle").form(t, confirmAction)
	}
	for i := range racers {
		b, confirm := browsers[i], forms[i]
		g.Go("pages", func(context.Context) error {
			results <- b.post(confirmAction, confirm).status
			return nil
		})
		doc := document()
		doc.Limits.CrashRuns = 9
		g.Go("api", func(context.Context) error {
			status, _ := n.apply(1, doc)
			results <- status
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	counts := make(map[int]int)
	for range 2 * racers {
		counts[<-results]++
	}
	if counts[http.StatusOK] != 1 || counts[http.StatusConflict] != 2*racers-1 {
		t.Errorf("statuses %v, want one accepted and the rest conflicts", counts)
	}
	if v, _, err := n.configs.Version(t.Context()); v != 2 || err != nil {
		t.Errorf("version %d, %v; want 2", v, err)
	}
}

// Guards against pages that hide an outage or an unknown outcome, or that offer no way to retry.
func TestTableFaults(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	b := n.login("Asta")
	confirm := b.get("/parts/data_centres/switch?id=vejle").form(t, confirmAction)
	n.platform.SetDown(true)
	b.get("/").expect(t, http.StatusOK, "does not answer", "version 1")
	b.get("/history").expect(t, http.StatusServiceUnavailable, "does not answer")
	down := b.post(confirmAction, confirm)
	down.expect(t, http.StatusServiceUnavailable, "Nothing was changed", "Try again")
	n.platform.SetDown(false)
	retry := b.post(previewAction, down.form(t, previewAction)).form(t, confirmAction)
	n.table.loseReply.Store(true)
	lost := b.post(confirmAction, retry)
	lost.expect(t, http.StatusAccepted, "its answer was lost")
	q := lost.form(t, "/changes/outcome").Encode()
	b.get("/changes/outcome?"+q).expect(t, http.StatusOK, "There is no version 2 yet")
	if _, err := n.platform.Commit(t.Context(), *n.table.pendingTxn.Load()); err != nil {
		t.Fatal(err)
	}
	b.get("/changes/outcome?"+q).expect(t, http.StatusOK, "It was accepted")
	b.get("/changes/outcome?version=2&commit=other").expect(t, http.StatusOK, "Yours was not accepted")
	n.isolated.Store(true)
	b.post(confirmAction, retry).expect(t, http.StatusServiceUnavailable, "in contact with 1 of 6 nodes")
}

// Guards against accepting forged posts from other sites, sessions or nodes (CSRF).
func TestCrossSitePosts(t *testing.T) {
	t.Parallel()
	n, other := start(t, operatorKey), start(t, operatorKey)
	b, colleague := n.login("Asta"), n.login("Bo")
	confirm := b.get("/parts/data_centres/switch?id=vejle").form(t, confirmAction)
	with := func(key, value string) url.Values {
		f := maps.Clone(confirm)
		f.Set(key, value)
		return f
	}
	sameOrigin := map[string]string{"Origin": n.url}
	tests := []struct {
		name   string
		b      *browser
		form   url.Values
		header map[string]string
		status int
	}{
		{"no origin", b, confirm, nil, 403},
		{"origin of another site", b, confirm, map[string]string{"Origin": "http://evil.example"}, 403},
		{"opaque origin", b, confirm, map[string]string{"Origin": "null"}, 403},
		{"origin of another node", b, confirm, map[string]string{"Origin": other.url}, 403},
		{"cross-site fetch", b, confirm, map[string]string{"Origin": n.url, "Sec-Fetch-Site": "cross-site"}, 403},
		{"no token", b, with("token", ""), sameOrigin, 403},
		{"token of another session", colleague, confirm, sameOrigin, 403},
		{"session of another node", &browser{node: n, client: other.login("Asta").client}, confirm, sameOrigin, 200},
		{"too large", b, with("entry", strings.Repeat("x", 1<<20)), sameOrigin, 413},
		{"incomplete", b, with("entry", "{"), sameOrigin, 400},
		{"unknown part", b, with("part", "nothing"), sameOrigin, 400},
		{"unknown operation", b, with("op", "drop"), sameOrigin, 400},
	}
	for _, tt := range tests {
		h := map[string]string{"Content-Type": "application/x-www-form-urlencoded"}
		maps.Copy(h, tt.header)
		resp := tt.b.do("POST", confirmAction, strings.NewReader(tt.form.Encode()), h)
		if resp.status != tt.status || tt.status == 200 && resp.path != "/login" {
			t.Errorf("%s: status %d at %s, want %d", tt.name, resp.status, resp.path, tt.status)
		}
	}
	if v := n.view.Load().Version; v != 1 {
		t.Fatalf("a refused post made version %d", v)
	}
	b.post(confirmAction, confirm).expect(t, http.StatusOK, "Version 2 was accepted")
	b.post("/logout", b.get("/").form(t, "/logout")).expect(t, http.StatusOK, "Operator key")
	b.get("/").expect(t, http.StatusOK, "Operator key")
}

// Guards against a login with a wrong key or from another site, and against cookies that scripts or
// other sites could use.
func TestLogin(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	b := n.browser()
	b.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	form := b.get("/login").form(t, "/login")
	post := func(author, key, origin string) response {
		form.Set("author", author)
		form.Set("key", key)
		return b.do("POST", "/login", strings.NewReader(form.Encode()), map[string]string{
			"Origin": origin, "Content-Type": "application/x-www-form-urlencoded",
		})
	}
	post("Asta", "wrong", n.url).expect(t, http.StatusUnauthorized, "key is wrong")
	post("Asta", view.HashKey(operatorKey), n.url).expect(t, http.StatusUnauthorized, "key is wrong")
	post("Asta", operatorKey, "http://evil.example").expect(t, http.StatusForbidden, "out of date")
	post("a\tb", operatorKey, n.url).expect(t, http.StatusUnprocessableEntity, "printable")
	cookie := post("Asta", operatorKey, n.url).header.Get("Set-Cookie")
	for _, want := range []string{"HttpOnly", "SameSite=Strict", "path=/"} {
		if !strings.Contains(cookie, want) {
			t.Errorf("cookie lacks %s: %s", want, cookie)
		}
	}
	name, value, _ := strings.Cut(strings.Split(cookie, ";")[0], "=")
	forged := b.do("GET", "/", nil, map[string]string{"Cookie": name + "=" + value[:len(value)-2] + "xx"})
	if forged.status != http.StatusSeeOther {
		t.Errorf("forged cookie: status %d", forged.status)
	}
}

// Guards against pages that a screen reader or a browser without scripts cannot use: fields without a
// label, scripts, or text of an operator that becomes markup.
func TestMarkup(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	b := n.login(`<script>x</script>`)
	pages := append(editPages(b), "/", "/history", "/explain?subject=%3Cscript%3E", "/burn", "/history/changes?from=0&to=1",
		"/parts/hosts?q=%3Cscript%3E", "/parts/services/new", "/parts/data_centres/switch?id=vejle", "/nothing", "/parts/nothing")
	field := regexp.MustCompile(`<(?:input type="(?:text|number|search|password|checkbox)"|select|textarea) (?:[^>]* )?id="([^"]+)"`)
	all := regexp.MustCompile(`<(?:input type="(?:text|number|search|password|checkbox)"|select|textarea)[ >]`)
	for _, path := range pages {
		body := b.get(path).body
		if strings.Contains(body, "<script") || strings.Contains(body, "onclick") || strings.Contains(body, "style=") {
			t.Errorf("%s has a script, a handler or inline style", path)
		}
		if strings.Count(body, "<h1>") != 1 || !strings.Contains(body, `<html lang="en">`) {
			t.Errorf("%s has no single heading or no language", path)
		}
		ids := field.FindAllStringSubmatch(body, -1)
		if len(ids) != len(all.FindAllString(body, -1)) {
			t.Errorf("%s has a field without an id", path)
		}
		for _, id := range ids {
			if !strings.Contains(body, `<label for="`+id[1]+`">`) {
				t.Errorf("%s: field %s has no label", path, id[1])
			}
		}
	}
	style := firstMatch(regexp.MustCompile(`href="(/static/style.css\?v=[0-9a-f]+)"`), b.get("/").body)
	if resp := b.get(style); resp.status != http.StatusOK || !strings.HasPrefix(resp.header.Get("Content-Type"), "text/css") {
		t.Errorf("style sheet %q: status %d", style, resp.status)
	}
	var list []admin.VersionSummary
	n.api("GET", admin.PathHistory, nil, &list)
	if len(list) != 1 {
		t.Errorf("looking at pages made %d versions", len(list)-1)
	}
}
