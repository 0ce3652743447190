package serve_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/conf/apply"
)

// Guards against a table that is restored from an older copy and stays behind the configuration in force, so that no change
// is accepted, or that takes nodes back to an older one.
func TestRestoredConfiguration(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.commit(s.nodes)
	time.Sleep(200 * time.Millisecond)
	kept := time.Now()
	time.Sleep(200 * time.Millisecond)
	for range 3 {
		s.commit(s.nodes)
	}
	s.site.Platform.Restore(time.Since(kept))
	configs := apply.New(s.site.Platform, time.Now)
	s.eventually(convergenceTimeout, "the table has the version in force", func() bool {
		for _, n := range s.nodes {
			if n.View().Version != s.version {
				t.Fatalf("%s has version %d, want %d", n.cfg.NodeName, n.View().Version, s.version)
			}
		}
		v, _, err := configs.Version(t.Context())
		return err == nil && v == s.version
	})
	if e, err := configs.Entry(t.Context(), s.version); err != nil || e.Document == nil {
		t.Errorf("version %d cannot be read: %v", s.version, err)
	}
	if list, err := configs.History(t.Context(), 0, 10); err != nil || len(list) != 3 || list[1].Version != 2 {
		t.Errorf("history after the restoration: %+v, %v; want versions 5, 2 and 1", list, err)
	}
	s.commit(s.nodes)
	base := s.version
	time.Sleep(200 * time.Millisecond)
	kept = time.Now()
	time.Sleep(200 * time.Millisecond)
	s.commit(s.nodes)
	lost := s.version
	for _, n := range s.nodes {
		n.platform.SetDown(true)
	}
	s.site.Platform.Restore(time.Since(kept))
	// This change is accepted before any node can write the lost version again.
	e, err := configs.Commit(t.Context(), base, "test", s.site.Document)
	if err != nil || e.Version <= lost {
		t.Fatalf("got version %d, %v; want one above the lost version %d", e.Version, err, lost)
	}
	for _, n := range s.nodes {
		n.platform.SetDown(false)
	}
	s.eventually(convergenceTimeout, "a change that was accepted in place of lost ones", func() bool {
		for _, n := range s.nodes {
			if n.View().Version != e.Version {
				return false
			}
		}
		return true
	})
}

// Guards against a node that starts on a restored table and goes by an older configuration than its peers.
func TestNodeStartsOnRestoredTable(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	time.Sleep(200 * time.Millisecond)
	kept := time.Now()
	time.Sleep(200 * time.Millisecond)
	s.commit(s.nodes)
	s.site.Platform.Restore(time.Since(kept))
	n := s.start(len(s.nodes), "127.0.0.1:0")
	s.nodes = append(s.nodes, n)
	s.publishHosts()
	s.eventually(2*convergenceTimeout, "a version on the new node", func() bool { return n.View().Version > 0 })
	if v := n.View().Version; v != s.version {
		t.Errorf("the new node began with version %d, its peers have %d", v, s.version)
	}
}
