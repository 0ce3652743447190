package object_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/object"
	"github.com/cockroachdb/errors"
)

// Guards against clients of the object store and the live list that lose bytes or hide an outage.
func TestPlatformClients(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := store.New()
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("platform", func(ctx context.Context) error { return p.Serve(ctx, ln) })
	defer func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}()
	objects, list := object.New(ln.Addr().String()), hosts.New(ln.Addr().String())

	value := []byte{0, 1, 2, 255}
	for _, key := range []string{"a/1", "a/2 &x=%", "b/1"} {
		if err := objects.Put(t.Context(), key, value); err != nil {
			t.Fatalf("put %s: %v", key, err)
		}
	}
	if got, err := objects.Get(t.Context(), "a/2 &x=%"); err != nil || string(got) != string(value) {
		t.Errorf("get: %v, %v", got, err)
	}
	if _, err := objects.Get(t.Context(), "c"); !errors.Is(err, object.ErrNotFound) {
		t.Errorf("get of an absent object: %v", err)
	}
	if keys, err := objects.List(t.Context(), "a/"); err != nil || fmt.Sprint(keys) != "[a/1 a/2 &x=%]" {
		t.Errorf("list: %v, %v", keys, err)
	}
	p.SetHosts([]hosts.Host{{Name: "h", Kind: hosts.Entry, State: hosts.Leaving, DataCentre: "vejle"}})
	if got, err := list.List(t.Context()); err != nil || len(got) != 1 || got[0].State != hosts.Leaving {
		t.Errorf("host list: %v, %v", got, err)
	}
	p.SetDown(true)
	if _, err := list.List(t.Context()); err == nil {
		t.Error("an outage gave a host list")
	}
	if err := objects.Put(t.Context(), "a/3", value); err == nil {
		t.Error("an outage took an object")
	}
}
