package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// The HTTP server's pool of workers ends up to 10 s after the server.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// fleet is a set of nodes that resolve each other on loopback.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	addrs map[string]string
	// incs are the incarnations that the nodes accept; absent means any.
	incs map[string]string
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, addrs: map[string]string{}, incs: map[string]string{}}
}

func (f *fleet) start(name, inc string) (*peer.Net, context.CancelFunc) {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.addrs[name] = ln.Addr().String()
	f.mu.Unlock()
	n := peer.New(peer.Config{
		Self: peer.Peer{Node: name, Incarnation: inc, DataCentre: "dc"}, Log: hclog.NewNullLogger(),
		Resolve: func(node string) (string, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			a, ok := f.addrs[node]
			return a, ok
		},
		Accept: func(p peer.Peer) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			want, ok := f.incs[p.Node]
			return !ok || want == p.Incarnation
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go(name, func(ctx context.Context) error { return n.Run(ctx, ln) })
	stop := sync.OnceFunc(func() {
		cancel()
		if err := g.Wait(); err != nil {
			f.t.Errorf("run %s: %v", name, err)
		}
	})
	f.t.Cleanup(stop)
	return n, stop
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

func ask(n *peer.Net, node string, limit time.Duration) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.Ask(ctx, node, &frame.ProbeAsk{Node: "x"})
}

// Guards against asks without an answer, and against a refusal that looks like one.
func TestAsk(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", "1")
	b, _ := f.start("b", "1")
	eventually(t, "first answer", func() bool {
		_, err := ask(a, "b", time.Second)
		return errors.Is(err, peer.ErrRefused)
	})
	release := make(chan struct{})
	peer.OnAsk(b, func(_ context.Context, from peer.Peer, _ *frame.ProbeAsk) *frame.ProbeReply {
		return &frame.ProbeReply{Heard: from.Node == "a"}
	})
	r, err := ask(a, "b", time.Second)
	if reply, ok := r.(*frame.ProbeReply); !ok || !reply.Heard {
		t.Errorf("got %v, %v", r, err)
	}
	peer.OnAsk(b, func(context.Context, peer.Peer, *frame.ProbeAsk) *frame.ProbeReply {
		<-release
		return nil
	})
	if _, err := ask(a, "b", 50*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("slow answer: got %v", err)
	}
	close(release)
	if _, err := ask(a, "nobody", time.Second); !errors.Is(err, peer.ErrNoLink) {
		t.Errorf("unknown node: got %v", err)
	}
}

// Guards against two links of a pair, and against messages that are lost while one of them goes.
func TestOneLinkPerPair(t *testing.T) {
	f := newFleet(t)
	const size = 5
	nets := make([]*peer.Net, size)
	names := make([]string, size)
	for i := range nets {
		names[i] = fmt.Sprintf("n%d", i)
		nets[i], _ = f.start(names[i], "1")
	}
	for _, n := range nets {
		n.Want("test", names)
	}
	eventually(t, "full mesh", func() bool {
		for _, n := range nets {
			if n.Links() != size-1 {
				return false
			}
		}
		return true
	})
	nets[0].Drop("n1")
	eventually(t, "new link after a drop", func() bool {
		return nets[0].Send("n1", &frame.ConfigOffer{Ver: 1}) == nil
	})
}

// Guards against messages from a process that has been replaced.
func TestIncarnation(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", "1")
	f.start("b", "old")
	f.mu.Lock()
	f.incs["b"] = "new"
	f.mu.Unlock()
	eventually(t, "refusal of the other incarnation", func() bool {
		_, err := ask(a, "b", time.Second)
		if err == nil || errors.Is(err, peer.ErrRefused) {
			t.Fatalf("other incarnation: got %v", err)
		}
		return errors.Is(err, peer.ErrNoLink)
	})
	f.start("b", "new")
	eventually(t, "link to the new incarnation", func() bool {
		_, err := ask(a, "b", time.Second)
		p, ok := a.Peer("b")
		return errors.Is(err, peer.ErrRefused) && ok && p.Incarnation == "new"
	})
}

// Guards against a peer that stops reading and fills the memory of the sender or blocks it.
func TestSlowPeer(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", "1")
	b, _ := f.start("b", "1")
	release := make(chan struct{})
	defer close(release)
	peer.On(b, func(peer.Peer, *frame.ConfigDocument) { <-release })
	a.Want("test", []string{"b"})
	eventually(t, "link", func() bool { return a.Links() == 1 })
	doc := &frame.ConfigDocument{Ver: 1, Doc: make([]byte, 512<<10)}
	refused, longest := 0, time.Duration(0)
	for range 32 {
		began := time.Now()
		if err := a.Send("b", doc); err != nil {
			refused++
		}
		longest = max(longest, time.Since(began))
	}
	// A send that waited for the peer would last until the write timeout of 2 s.
	if refused == 0 || longest > time.Second {
		t.Errorf("%d of 32 documents refused, the longest send took %v", refused, longest)
	}
	eventually(t, "link to the slow peer ends", func() bool { return a.Send("b", doc) != nil && a.Links() == 0 })
}

// Guards against counters that miss messages, and against a node that stays up when its peer ends.
func TestStatsAndEnd(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", "1")
	b, stop := f.start("b", "1")
	a.Want("test", []string{"b"})
	eventually(t, "link", func() bool { return a.Links() == 1 && b.Links() == 1 })
	for range 10 {
		if err := a.Send("b", &frame.ConfigOffer{Ver: 1}); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "10 messages", func() bool { return b.Stats().Received["config_offer"].Messages == 10 })
	sent, got := a.Stats().Sent, b.Stats().Received
	if peer.Total(sent) != peer.Total(got) {
		t.Errorf("sent %v, received %v", sent, got)
	}
	stop()
	eventually(t, "link ends", func() bool { return a.Links() == 0 })
}
