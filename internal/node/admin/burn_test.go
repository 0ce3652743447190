package admin_test

import (
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/report/burn"
)

// Guards against a burn page that hides bad requests or unreadable snapshots, and a plot that needs no login.
func TestBurnPage(t *testing.T) {
	t.Parallel()
	n := start(t, operatorKey)
	counts := burn.New()
	counts.Add(time.Now(), document().Objectives, burn.Request{Account: "account-00", Model: "presse-lm", DataCentre: "vejle", Refused: true})
	if err := burn.NewArchive(n.platform.Objects(), counts, "node-1", "1").Write(t.Context(), time.Now()); err != nil {
		t.Fatal(err)
	}
	b := n.login("Asta")
	b.get("/burn").expect(t, 200, "account-00 / presse-lm", "fast", "refused", `<img src="/burn/plot.svg"`)
	plot := b.get("/burn/plot.svg")
	plot.expect(t, 200, "<svg", "account-00 / presse-lm")
	if got := plot.header.Get("Content-Type"); got != "image/svg+xml" {
		t.Errorf("got type %s", got)
	}
	if resp := n.browser().get("/burn/plot.svg"); strings.Contains(resp.body, "<svg") {
		t.Error("the plot needs no login")
	}
	n.platform.SetDown(true)
	b.get("/burn").expect(t, 503, "the object store does not answer")
	b.get("/burn/plot.svg").expect(t, 503)
}
