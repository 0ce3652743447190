package detour_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/reach"
	"geraniumhollow/internal/node/detour"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// timing is how servers treat a new connection.
type timing struct {
	// connect is how long the handshake takes, answer how long the answer takes then. A negative time is endless.
	connect, answer time.Duration
	refused         bool
}

func (m timing) try(ctx context.Context, _ detour.Server, connected func()) error {
	pass := func(d time.Duration) error {
		if d < 0 {
			<-ctx.Done()
		}
		if d < 0 || !tasks.Sleep(ctx, d) {
			return errors.Newf("try: %w", context.Cause(ctx))
		}
		return nil
	}
	if err := pass(m.connect); err != nil {
		return err
	}
	connected()
	if m.refused {
		return errors.New("reset")
	}
	return pass(m.answer)
}

// newNode returns a node beside two others that reach servers.
func newNode(try func(ctx context.Context, s detour.Server, connected func()) error, servers ...detour.Server) *detour.Detour {
	return detour.New(detour.Config{
		Servers: func() []detour.Server { return append([]detour.Server(nil), servers...) },
		Try:     try,
		Nodes:   func() []detour.Node { return []detour.Node{{Address: "n1"}, {Address: "n2"}} },
		Ask: func(context.Context, string, []detour.Server) (detour.Status, error) {
			return detour.Status{Reaches: true, Accepts: true}, nil
		},
		OnChange: func(bool) {}, Log: hclog.NewNullLogger(),
	})
}

var fourServers = []detour.Server{{ID: "s1", Domain: "a"}, {ID: "s2", Domain: "b"}, {ID: "s3", Domain: "c"}, {ID: "s4", Domain: "d"}}

// Guards against a node that takes servers that answer slowly for lost links, and against one that needs longer to find that
// it has lost its links.
func TestSlowServersAreReached(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		timing timing
		stream bool
		want   reach.State
		within time.Duration
	}{
		{"answers after 100 ms", timing{answer: 100 * time.Millisecond}, false, reach.Connected, 100 * time.Millisecond},
		{"answers after 200 ms", timing{answer: 200 * time.Millisecond}, false, reach.Connected, 200 * time.Millisecond},
		{"answers after 400 ms", timing{answer: 400 * time.Millisecond}, false, reach.Connected, 400 * time.Millisecond},
		{"connects after 200 ms while a stream goes on", timing{connect: 200 * time.Millisecond}, true, reach.Connected, 200 * time.Millisecond},
		{"packets are lost", timing{connect: -1}, false, reach.Isolated, 150 * time.Millisecond},
		{"connections are refused", timing{refused: true}, false, reach.Isolated, 0},
		{"connects and never answers", timing{answer: -1}, false, reach.Isolated, 500 * time.Millisecond},
		{"new connections hang while a stream goes on", timing{connect: -1}, true, reach.Isolated, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := newNode(tt.timing.try, fourServers...)
				g := tasks.New(ctx)
				g.Go("run", d.Run)
				if tt.stream {
					g.Go("stream", func(ctx context.Context) error {
						return tasks.Every(ctx, 20*time.Millisecond, func(context.Context) { d.Heard("s1") })
					})
				}
				begun := time.Now()
				d.Confirm(ctx)
				took := time.Since(begun)
				if got := d.State(); got != tt.want {
					t.Errorf("the node is %v after %v, want %v", got, took, tt.want)
				}
				if took > tt.within {
					t.Errorf("the check took %v, want at most %v", took, tt.within)
				}
				cancel()
				_ = g.Wait()
			})
		})
	}
}

// checkerAddress names the address of the server that a process started by the test must try.
const checkerAddress = "DETOUR_TEST_SERVER"

// Guards against a node that takes itself for isolated because its process did not run while the servers answered, or all
// processes of its host did not run.
func TestStoppedProcessIsNotIsolated(t *testing.T) {
	t.Parallel()
	if address := os.Getenv(checkerAddress); address != "" {
		fmt.Println("state", checkOnce(t, address))
		return
	}
	for _, tt := range []struct {
		name  string
		after time.Duration
	}{{"answered meanwhile", -100 * time.Millisecond}, {"answered afterwards", 20 * time.Millisecond}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			out := stopChecker(t, tt.after)
			if want := "state " + strconv.Itoa(int(reach.Connected)); !strings.Contains(out, want) {
				t.Errorf("got %q, want %q", out, want)
			}
		})
	}
}

// stopTime is how long the process of a check does not run.
const stopTime = 1500 * time.Millisecond

// stopChecker has a process of its own make a check, stops it meanwhile, and has the servers answer some time after it runs
// again. It returns the output of the process.
func stopChecker(t *testing.T, after time.Duration) string {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestStoppedProcessIsNotIsolated$", "-test.count=1")
	cmd.Env = append(os.Environ(), checkerAddress+"="+ln.Addr().String())
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	list := make([]net.Conn, 0, len(fourServers))
	for range fourServers {
		nc, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, nc)
	}
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	resume := time.AfterFunc(stopTime, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
	defer resume.Stop()
	time.Sleep(stopTime + after)
	for _, nc := range list {
		_, _ = nc.Write([]byte("ready\n"))
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("%v: %s", err, &out)
	}
	return out.String()
}

// checkOnce has a node check its links, and returns its state.
func checkOnce(t *testing.T, address string) int {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	d := newNode(func(ctx context.Context, _ detour.Server, connected func()) error {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Newf("dial: %w", err)
		}
		connected()
		defer context.AfterFunc(ctx, func() { _ = nc.Close() })()
		if deadline, ok := ctx.Deadline(); ok {
			_ = nc.SetDeadline(deadline)
		}
		_, err = bufio.NewReader(nc).ReadString('\n')
		return errors.Wrap(err, "read")
	}, fourServers...)
	g := tasks.New(ctx)
	g.Go("run", d.Run)
	d.Confirm(ctx)
	state := int(d.State())
	cancel()
	_ = g.Wait()
	return state
}

// Guards against tries of servers for each question of another node, which keep busy servers busy.
func TestQuestionsShareTries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var tries atomic.Int32
		d := newNode(func(ctx context.Context, _ detour.Server, _ func()) error {
			tries.Add(1)
			<-ctx.Done()
			return ctx.Err()
		}, fourServers...)
		ask := func() {
			g := tasks.New(t.Context())
			for i := range 20 {
				g.Go("ask", func(ctx context.Context) error {
					tasks.Sleep(ctx, time.Duration(i)*10*time.Millisecond)
					if d.Status(ctx, fourServers, 0, 1).Reaches {
						t.Error("a server that does not answer was reached")
					}
					return nil
				})
			}
			_ = g.Wait()
		}
		ask()
		if n := tries.Load(); n != 4 {
			t.Errorf("%d tries for 20 questions within 0.2 s, want 4", n)
		}
		time.Sleep(time.Second)
		ask()
		if n := tries.Load(); n != 8 {
			t.Errorf("%d tries after a second, want 8", n)
		}
	})
}
