//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/platform/standin"
)

// Bounds of the small deployment, as in its site file.
const (
	drainMs  = 2000
	configMs = 2000
	graceS   = 8
	stallMs  = 5000
	beatMs   = 1200
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	begun time.Time
	w     io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// world is a store, runners and nodes on loopback addresses.
type world struct {
	*record
	ctx       context.Context
	cancel    context.CancelFunc
	group     *tasks.Group
	store     *standin.Store
	storeAddr string
	fleet     *standin.Fleet
	dir       string
	trouble   bool
	nodes     []*node
	attempts  atomic.Int64
}

// node is one process of the deploy file's program.
type node struct {
	name, ip, zone string
	front, ready   string
	port           int
	storeAddr      string
	cmd            *exec.Cmd
	done           chan struct{}
	memoryMb       int
	// begun is set once a first process has begun.
	begun bool
}

func newWorld(dir string) (*world, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	w := &world{
		record: &record{begun: time.Now(), w: io.MultiWriter(f, os.Stdout)}, ctx: ctx, cancel: cancel, group: tasks.New(ctx),
		store: standin.NewStore(), dir: tmp, trouble: os.Getenv("TROUBLE") != "0",
	}
	w.fleet = standin.NewFleet(w.group, w.store)
	w.store.SetTimes(4*time.Millisecond, 2*time.Second)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = ln.Addr().String()
	srv := &http.Server{Handler: w.store}
	w.group.Go("store", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
		defer stop()
		_ = srv.Serve(ln)
		return nil
	})
	return w, nil
}

// addNode starts a node on an address of its own.
func (w *world) addNode(i int, zone string) (*node, error) {
	ip := fmt.Sprintf("127.0.0.%d", 11+i)
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("edge-%d", i), ip: ip, zone: zone, port: port, storeAddr: w.storeAddr, memoryMb: 284}
	n.front = net.JoinHostPort(ip, strconv.Itoa(port+8))
	n.ready = net.JoinHostPort(ip, strconv.Itoa(port+9))
	w.nodes = append(w.nodes, n)
	return n, w.startNode(n)
}

// freePort returns the first of sixteen ports that are probably free on an address.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return 12000 + ln.Addr().(*net.TCPAddr).Port%18000, nil
}

func (w *world) startNode(n *node) error {
	set := map[string]any{
		"NodeName": n.name, "Role": "edge", "MachineClass": "edge", "Zone": n.zone, "Region": "r0", "Ip": n.ip,
		"PortRange": []int{n.port, n.port + 7}, "HeartbeatMs": beatMs, "Bootstrap": !n.begun,
		"Listen": map[string]any{"Front": n.front, "Ready": n.ready},
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": n.memoryMb, "MaxFds": 4100, "LinkMbps": 1000},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "StabilityMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": drainMs, "GraceS": graceS,
			"LossSlackMs": 200, "ConfigApplyMs": configMs, "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RetryRatio": 0.2, "RetryWindowS": 10,
			"RetrySlack": 130, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuateMs": 5000, "RecoveryS": 12, "PassMs": 120, "StallMs": stallMs,
		},
		"Platform": map[string]any{"Address": n.storeAddr, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxnMs": 5},
	}
	b, err := json.Marshal(set)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, n.name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/edge")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMHOLLOW_NODE_FILE=" + file}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done, n.begun = make(chan struct{}), true
	cmd, done := n.cmd, n.done
	go func() {
		err := cmd.Wait()
		w.printf("process of %s has ended: %v", n.name, err)
		_ = log.Close()
		close(done)
	}()
	return nil
}

// running reports whether the process of a node runs.
func (n *node) running() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

func (w *world) signal(n *node, s syscall.Signal) {
	w.printf("%v to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// awaitReady waits until all nodes say that they are ready.
func (w *world) awaitReady(within time.Duration) bool {
	return w.await(within, func() bool {
		for _, n := range w.nodes {
			resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + n.ready + "/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (w *world) await(within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// end stops all processes.
func (w *world) end() {
	for _, n := range w.nodes {
		if n.running() {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	w.cancel()
	_ = w.group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// call makes a request on a new connection, as a client that is answered by a node.
type call struct {
	attempt string
	status  int
	header  http.Header
	body    string
	err     error
	sent    time.Time
}

func (w *world) call(n *node, method, path, key string, deadline time.Duration, body []byte) call {
	return w.callWith(n, method, path, key, deadline, body, nil)
}

// callWith makes a request with further headers.
func (w *world) callWith(n *node, method, path, key string, deadline time.Duration, body []byte, header map[string]string) call {
	c := call{attempt: fmt.Sprintf("%08x%08x", w.begun.UnixNano()&0xffffffff, w.attempts.Add(1)), sent: time.Now()}
	q, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		c.err = err
		return c
	}
	q.Host = "t.example"
	q.Header.Set("Attempt-Id", c.attempt)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		q.Header.Set(k, v)
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(q)
	if err != nil {
		c.err = err
		return c
	}
	defer resp.Body.Close()
	c.status, c.header = resp.StatusCode, resp.Header
	b, err := io.ReadAll(resp.Body)
	c.body, c.err = string(b), err
	return c
}
