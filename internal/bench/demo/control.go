package demo

import (
	"context"
	"slices"
	"time"

	"geraniumhollow/internal/bench/load"
	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/plat/engine"
	"github.com/cockroachdb/errors"
)

// commitTries bounds the tries of a configuration change that meets a conflict.
const commitTries = 5

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

// change commits a changed copy of the current document.
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
		_, err = configs.Commit(ctx, version, "demo", &doc)
		if err == nil {
			return nil
		}
		if !errors.Is(err, apply.ErrConflict) {
			return errors.Newf("commit change: %w", err)
		}
	}
	return errors.New("the configuration kept changing")
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

// addresses returns where callers reach the nodes.
func (s *System) addresses() []string {
	out := make([]string, len(s.Nodes))
	for i, cfg := range s.Nodes {
		out[i] = cfg.CallerAddress
	}
	return out
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
