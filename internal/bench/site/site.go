package site

import (
	"context"
	"net"
	"time"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/fake/plain"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/plat/engine"
	"github.com/cockroachdb/errors"
)

// loopback is the address that stand-ins listen on; the system picks the port.
const loopback = "127.0.0.1:0"

// Times of the stand-in engines.
const (
	tokenInterval = 2 * time.Millisecond
	firstToken    = 5 * time.Millisecond
	reportLag     = 200 * time.Millisecond
)

// Site is a running set of stand-ins.
type Site struct {
	Deployment Deployment
	// Platform is the table, the object store and the live list; they share PlatformAddress.
	Platform        *store.Store
	PlatformAddress string
	// Engines are the model runners by index.
	Engines  []*model.Engine
	Services []*plain.Service
	Document *schema.Document
}

// Start starts the stand-ins of d in g and commits their configuration document.
func Start(g *tasks.Group, d Deployment) (*Site, error) {
	s := &Site{Deployment: d, Platform: store.New()}
	addr, err := listen(g, "platform", s.Platform.Serve)
	if err != nil {
		return nil, err
	}
	s.PlatformAddress = addr
	var at Addresses
	for i := range d.Runners {
		e := model.New(d.engineConfig(i), engine.Warm)
		addr, err := listen(g, d.GroupName(i), e.Serve)
		if err != nil {
			return nil, err
		}
		s.Engines = append(s.Engines, e)
		at.Runners = append(at.Runners, addr)
	}
	for i := range d.Instances {
		svc := plain.New(d.InstanceName(i))
		addr, err := listen(g, d.InstanceName(i), svc.Serve)
		if err != nil {
			return nil, err
		}
		s.Services = append(s.Services, svc)
		at.Instances = append(at.Instances, addr)
	}
	s.Document = d.Document(at)
	configs := apply.New(s.Platform, time.Now)
	if _, err := configs.Commit(g.Context(), 0, "demo", s.Document); err != nil {
		return nil, errors.Newf("commit first configuration: %w", err)
	}
	return s, nil
}

func (d Deployment) engineConfig(i int) model.Config {
	return model.Config{
		Group: d.GroupName(i), Generation: 1, Hosts: d.RunnerHosts(i), Model: d.Model, Version: "v1",
		TokenInterval: tokenInterval, FirstToken: firstToken, ColdRequests: coldRequests,
		WarmTokens: warmTokens, ReportLag: reportLag,
	}
}

// listen starts serve in g on a free loopback port and returns its address.
func listen(g *tasks.Group, name string, serve func(context.Context, net.Listener) error) (string, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(g.Context(), "tcp", loopback)
	if err != nil {
		return "", errors.Newf("listen for %s: %w", name, err)
	}
	g.Go(name, func(ctx context.Context) error { return serve(ctx, ln) })
	return ln.Addr().String(), nil
}
