package serve_test

import (
	"bytes"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/node/share"
	"geraniumhollow/internal/node/tool"
	"geraniumhollow/internal/plat/engine"
	"github.com/urfave/cli/v3"
)

var requestID = regexp.MustCompile(`node-\d-[0-9a-f]+-[0-9a-f]+`)

// explain runs the explain command against a node.
func (s *system) explain(n *running, args ...string) string {
	s.t.Helper()
	return s.command(n, append([]string{"explain"}, args...)...)
}

// command runs a command of operators against a node.
func (s *system) command(n *running, args ...string) string {
	s.t.Helper()
	var out bytes.Buffer
	app := &cli.Command{Name: "geraniumhollow", Writer: &out, Commands: tool.Commands()}
	args = append([]string{"geraniumhollow"}, args...)
	args = append(args, "--operator-address", n.cfg.OperatorAddress, "--operator-key", operatorKey)
	if err := app.Run(s.t.Context(), args); err != nil {
		s.t.Fatal(err)
	}
	return out.String()
}

// ask asks for the outcome of a request, and for the rest of its answer.
func (s *system) ask(n *running, id string) {
	s.t.Helper()
	for path, method := range map[string]string{"/v1/requests/" + id: http.MethodGet, "/v1/completions": http.MethodPost} {
		req, _ := http.NewRequest(method, "http://"+n.cfg.CallerAddress+path, http.NoBody)
		req.Header.Set("Authorization", "Bearer "+s.site.Deployment.AccountKey(0))
		req.Header.Set("Last-Event-ID", id+":5:"+s.site.Deployment.GroupName(0))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			s.t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against an operator who asks why and is told nothing, or the wrong thing.
func TestExplain(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	n := s.nodes[0]
	group := s.site.Deployment.GroupName(0)
	s.eventually(bound, "all backend servers", func() bool {
		return strings.Count(s.explain(n, "--kind", "route"), "open") >= 3
	})
	_, refused := s.complete(n, -1)
	s.site.Engines[0].SetFaults(model.Faults{CutAfterTokens: 5})
	s.site.Engines[1].SetFaults(model.Faults{CutAfterTokens: 5})
	for _, id := range []string{
		"secret", "secret-" + relay.AccountTag("account-00") + "-" + strings.Repeat("0", 32),
		"node-0-" + relay.AccountTag("account-00") + "-secret",
	} {
		s.ask(n, id)
	}
	if got := s.explain(n); strings.Contains(got, "secret") {
		t.Errorf("caller text in\n%s", got)
	}
	var resumed string
	s.eventually(bound, "a resumed answer", func() bool {
		_, resumed = s.complete(n, 20)
		return strings.Contains(s.explain(n, "--subject", requestID.FindString(resumed)), "resumed")
	})
	for name, tt := range map[string]struct {
		args []string
		want []string
	}{
		"refused request": {
			args: []string{"--subject", requestID.FindString(refused)},
			want: []string{"refusal", "refused", "code=bad_request", "outcome=not_run"},
		},
		"resumed request": {
			args: []string{"--subject", requestID.FindString(resumed)},
			want: []string{"retry", "resumed on another backend server", "stream of the backend server broke", "tokens=5", "attempt=1"},
		},
		"route":         {args: []string{"--subject", group}, want: []string{"route", "open", "duty=" + share.Duty(group, share.DefaultShards)}},
		"shard":         {args: []string{"--subject", share.Duty(group, share.DefaultShards)}, want: []string{"duty", "held", "node=node-"}},
		"configuration": {args: []string{"--subject", n.cfg.NodeName, "--kind", "configuration"}, want: []string{"in force", "version=1", "current"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := s.explain(n, tt.args...)
			for _, w := range tt.want {
				if !strings.Contains(got, w) {
					t.Errorf("lacks %q:\n%s", w, got)
				}
			}
		})
	}
	hosts := s.site.Deployment.RunnerHosts(0)
	s.site.Engines[0].SetMembers([]engine.Member{{Host: hosts[0], Group: group, Generation: 1}})
	s.eventually(2*bound, "why the route closed", func() bool {
		var owner bool
		for _, other := range s.nodes {
			got := s.explain(other, "--subject", group)
			owner = owner || strings.Contains(got, "a member host is missing") && strings.Contains(got, "host="+hosts[1])
		}
		return owner && strings.Contains(s.explain(n, "--subject", group), "closed")
	})
	for _, other := range s.nodes {
		other.platform.SetDown(true)
	}
	s.eventually(2*bound, "why the mode changed", func() bool {
		return strings.Contains(s.explain(n, "--kind", "configuration"), "store_down")
	})
}
