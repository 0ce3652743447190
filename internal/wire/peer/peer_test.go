package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/shed"
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
	// messages is the memory for messages of each node, or nil.
	messages *shed.Budget
	// pipes holds the listeners by address when the nodes are connected by pipes instead of loopback.
	pipes map[string]*pipeListener
}

// pipeListener accepts the other ends of pipes, on which a synctest bubble can wait.
type pipeListener struct {
	name  string
	conns chan net.Conn
	done  chan struct{}
	close func()
}

func newPipeListener(name string) *pipeListener {
	done := make(chan struct{})
	return &pipeListener{name: name, conns: make(chan net.Conn), done: done, close: sync.OnceFunc(func() { close(done) })}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		// The HTTP server takes this for the planned end.
		return nil, io.EOF
	}
}

func (l *pipeListener) Close() error {
	l.close()
	return nil
}

func (l *pipeListener) Addr() net.Addr { return l }

func (l *pipeListener) Network() string { return "pipe" }

func (l *pipeListener) String() string { return l.name }

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, addrs: map[string]string{}, incs: map[string]string{}}
}

func (f *fleet) start(name, inc string) (*peer.Net, context.CancelFunc) {
	f.t.Helper()
	ln, dial, err := f.listen(name)
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.addrs[name] = ln.Addr().String()
	f.mu.Unlock()
	n := peer.New(peer.Config{
		Self: peer.Peer{Node: name, Incarnation: inc, DataCentre: "dc"}, Log: hclog.NewNullLogger(), Dial: dial, Messages: f.messages,
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

// listen returns a node's listener and how it dials others; nil for loopback.
func (f *fleet) listen(name string) (net.Listener, func(ctx context.Context, addr string) (net.Conn, error), error) {
	if f.pipes == nil {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		return ln, nil, err
	}
	// An address must look like one for the WebSocket dialler.
	ln := newPipeListener(name + ":1")
	f.mu.Lock()
	f.pipes[ln.name] = ln
	f.mu.Unlock()
	return ln, func(ctx context.Context, addr string) (net.Conn, error) {
		f.mu.Lock()
		to := f.pipes[addr]
		f.mu.Unlock()
		return to.dial(ctx)
	}, nil
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
	t.Run("loopback", func(t *testing.T) { sendToSlowPeer(t, newFleet(t)) })
	// The bubble's clock stands still while a goroutine runs, so a send takes no time unless it waits, however
	// little processor time the test gets.
	t.Run("pipe", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			// The last workers of the HTTP server end within 10 s.
			t.Cleanup(func() { time.Sleep(time.Minute) })
			f := newFleet(t)
			f.pipes = map[string]*pipeListener{}
			if longest := sendToSlowPeer(t, f); longest > 0 {
				t.Errorf("the longest send waited %v", longest)
			}
		})
	})
}

// sendToSlowPeer checks that documents for a peer that reads nothing are refused and that the link ends. It returns
// the longest time of a send.
func sendToSlowPeer(t *testing.T, f *fleet) time.Duration {
	t.Helper()
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
	if refused == 0 {
		t.Error("none of 32 documents refused")
	}
	eventually(t, "link to the slow peer ends", func() bool {
		// Fewer polls, as the clock of a bubble does not count the time that they take.
		time.Sleep(20 * time.Millisecond)
		return a.Send("b", doc) != nil && a.Links() == 0
	})
	return longest
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
