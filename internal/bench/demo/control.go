package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"geraniumhollow/internal/bench/load"
	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/plat/engine"
	"github.com/cockroachdb/errors"
)

// OperatorKey is the key of the demo's operators' pages.
const OperatorKey = "demo-operator-key"

// commitTries bounds the tries of a configuration change that meets a conflict, or a node that does
// not hear enough of the fleet yet; commitPause is the time between them.
const (
	commitTries = 20
	commitPause = 100 * time.Millisecond
)

// warmUp is how long a restarted stand-in engine stays cold.
const warmUp = 3 * time.Second

var _ load.Ground = (*System)(nil)

// SetDataCentre takes a data centre out of service or back, as a new configuration version.
func (s *System) SetDataCentre(ctx context.Context, name string, inService bool) error {
	return s.change(ctx, func(doc *schema.Document) {
		doc.DataCentres = slices.Clone(doc.DataCentres)
		for i := range doc.DataCentres {
			if doc.DataCentres[i].Name == name {
				doc.DataCentres[i].InService = inService
			}
		}
	})
}

// change applies a changed copy of the current document through the operators' address of the first
// node that is not being stopped, as an operator would.
func (s *System) change(ctx context.Context, f func(doc *schema.Document)) error {
	configs := apply.New(s.Site.Platform, time.Now)
	for range commitTries {
		version, _, err := configs.Version(ctx)
		if err != nil {
			return errors.Newf("read version: %w", err)
		}
		e, err := configs.Entry(ctx, version)
		if err != nil {
			return errors.Newf("read document: %w", err)
		}
		doc := *e.Document
		f(&doc)
		status, err := s.apply(ctx, version, &doc)
		if err != nil {
			return err
		}
		switch status {
		case http.StatusOK:
			return nil
		case http.StatusConflict, http.StatusServiceUnavailable:
			time.Sleep(commitPause)
		default:
			return errors.Newf("change answered with status %d", status)
		}
	}
	return errors.New("the change was not accepted")
}

// apply sends a document to the operators' address and returns the status of the answer.
func (s *System) apply(ctx context.Context, base uint64, doc *schema.Document) (int, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return 0, errors.Newf("encode document: %w", err)
	}
	body, err := json.Marshal(admin.ApplyBody{Base: &base, Author: "demo", Document: raw})
	if err != nil {
		return 0, errors.Newf("encode change: %w", err)
	}
	url := "http://" + s.Nodes[0].OperatorAddress + admin.PathApply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Newf("build change: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Newf("send change: %w", err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// RestartEngine kills the engine of a runner with all of its streams; it comes back cold and gets warm
// after a while.
func (s *System) RestartEngine(ctx context.Context, runner int) error {
	e := s.Site.Engines[runner]
	e.Restart(engine.Cold)
	select {
	case <-ctx.Done():
	case <-time.After(warmUp):
		e.SetState(engine.Warm)
	}
	return nil
}

// sendCrasher sends a request that crashes every engine through each node in turn, as a caller does that
// gets an error and tries again elsewhere.
func (s *System) sendCrasher(ctx context.Context) error {
	for _, e := range s.Site.Engines {
		e.SetFaults(model.Faults{CrashOnPrompt: crashPrompt})
	}
	for _, cfg := range s.Nodes {
		// Each answer is an error; how often the request ran is what counts.
		_, _ = s.complete(ctx, cfg.CallerAddress, crashPrompt, false)
	}
	return nil
}

// SetStoreDown starts or ends an outage of the platform's table, object store and live list.
func (s *System) SetStoreDown(down bool) { s.Site.Platform.SetDown(down) }

// StopNode begins the planned stop of a node.
func (s *System) StopNode(node int) { s.stops[node]() }

// Runs implements load.Ground.
func (s *System) Runs(call string) int {
	n := 0
	for _, svc := range s.Site.Services {
		n += svc.Runs()[call]
	}
	return n
}

// Prompts implements load.Ground.
func (s *System) Prompts(hash uint64) int {
	n := 0
	for _, e := range s.Site.Engines {
		n += e.Stats().RunsOfPrompt[hash]
	}
	return n
}

// target returns the system as a load sees it: through a balancer that asks each node's /readyz.
func (s *System) target() load.Target {
	t := load.Target{Ready: s.ready, Ground: s}
	for _, cfg := range s.Nodes {
		t.Callers = append(t.Callers, cfg.CallerAddress)
	}
	return t
}

func (s *System) ready(ctx context.Context, node int) bool {
	url := "http://" + s.Nodes[node].OperatorAddress + "/readyz"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lastWork returns when work last started on a backend server of a data centre.
func (s *System) lastWork(dataCentre string) time.Time {
	var last time.Time
	for i, e := range s.Site.Engines {
		if s.Site.Deployment.RunnerDataCentre(i) != dataCentre {
			continue
		}
		if at := e.Stats().LastStart; at.After(last) {
			last = at
		}
	}
	return last
}

// maxColdHeld returns the most requests that any engine held while it was cold.
func (s *System) maxColdHeld() int {
	most := 0
	for _, e := range s.Site.Engines {
		most = max(most, e.Stats().MaxColdHeld)
	}
	return most
}

// crashes returns how often engines fell over.
func (s *System) crashes() int {
	n := 0
	for _, e := range s.Site.Engines {
		n += e.Stats().Crashes
	}
	return n
}

// cacheHits returns the share of prompt tokens that engines had in their caches.
func (s *System) cacheHits() float64 {
	prompt, cached := 0, 0
	for _, e := range s.Site.Engines {
		st := e.Stats()
		prompt += st.PromptTokens
		cached += st.CachedTokens
	}
	return float64(cached) / float64(max(1, prompt))
}
