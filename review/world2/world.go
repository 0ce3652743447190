//go:build review2

// Command world2 plays one case of the second review: it starts nodes as processes against stand-ins of the platform's store, of
// the runners and of callers, all on loopback addresses, and checks one rule from what callers, runners and the platform see.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/platform/standin"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// settingsVariable names the settings file of a node.
const settingsVariable = "GERANIUMHOLLOW_NODE_FILE"

// Figures of a small deployment, as on the settings page.
const (
	heartbeat   = 1200 * time.Millisecond
	memoryMb    = 284
	graceS      = 8
	restartTime = time.Second
)

// accountKey is the key of the only tenant.
const accountKey = "n2ctnfzs989anu6wsjnb"

// recorder writes the record of a run, a line an event.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	begun time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// world is the deployment of a case.
type world struct {
	rec     *recorder
	dir     string
	trouble bool
	group   *tasks.Group
	ctx     context.Context //nolint:containedctx // It is that of the run.
	cancel  context.CancelFunc
	store   *standin.Store
	fleet   *standin.Fleet
	ports   *standin.Ports
	address string
	nodes   []*node
}

// newWorld starts the store and makes an empty fleet of runners. dir takes settings and logs, record is the file of the record.
func newWorld(dir, record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		rec: &recorder{f: f, begun: time.Now()}, dir: dir, trouble: trouble, group: tasks.New(ctx), ctx: ctx, cancel: cancel,
		store: standin.NewStore(), ports: standin.NewPorts(os.Getpid() * 211),
	}
	w.fleet = standin.NewFleet(w.group, w.store)
	w.address, err = w.serve("127.0.0.1:0", w.store)
	return w, err
}

// serve serves HTTP on an address until the run ends, and returns the address.
func (w *world) serve(address string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(w.ctx, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, n := range w.nodes {
		n.end()
	}
	w.cancel()
	_ = w.group.Wait()
	_ = w.rec.f.Close()
}

// node is a machine with one process of the system, which is started again when it ends.
type node struct {
	w       *world
	name    string
	ip      string
	front   string
	ready   string
	file    string
	metrics int

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool
	starts   int
	peakMb   int
	memKills int
}

// addNode adds a machine at a loopback address of its own and starts its process.
func (w *world) addNode(zone string, bootstrap bool) (*node, error) {
	i := len(w.nodes) + 1
	ports := make([]int, 0, 5)
	for range 5 {
		p, err := w.ports.Take()
		if err != nil {
			return nil, fmt.Errorf("port: %w", err)
		}
		ports = append(ports, p)
	}
	if w.nodes != nil { // Ports are the same on all machines.
		ports[3] = w.nodes[0].peerPort()
	}
	n := &node{w: w, name: fmt.Sprintf("edge-%s-%d", zone, i), ip: fmt.Sprintf("127.0.0.%d", 10+i), metrics: ports[2]}
	n.front, n.ready = net.JoinHostPort(n.ip, strconv.Itoa(ports[0])), net.JoinHostPort(n.ip, strconv.Itoa(ports[1]))
	n.file = filepath.Join(w.dir, n.name+".json")
	settings := map[string]any{
		"NodeName": n.name, "Role": "edge", "MachineClass": "edge", "Serves": []string{"edge"}, "Ip": n.ip, "Zone": zone, "Region": "dk-vest",
		"PortRange": []int{ports[3], ports[3] + 15}, "Seeds": []string{}, "Bootstrap": bootstrap, "Discovery": "platform", "Entry": "vip",
		"HeartbeatMs": heartbeat.Milliseconds(),
		"Zones":       map[string]string{"esbjerg": "dk-vest", "herning": "dk-vest", "vejle": "dk-vest"},
		"Listen":      map[string]string{"Front": n.front, "Ready": n.ready},
		"Limits":      map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": memoryMb, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Tolerate":    map[string]int{"Machines": 2, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "StabilityMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": graceS, "LossSlackMs": 200,
			"ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RevokeMs": 5000, "RetryRatio": 0.2, "RetryWindowS": 10,
			"RetrySlack": 130, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuateMs": 5000, "RecoveryS": 12, "PassMs": 120, "StallMs": 5000,
		},
		"Platform": map[string]any{"Address": w.address, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxnMs": 5.0},
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := os.WriteFile(n.file, b, 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	w.nodes = append(w.nodes, n)
	return n, n.start()
}

// peerPort returns the first port of the range for connections between nodes.
func (n *node) peerPort() int {
	var s struct{ PortRange []int }
	b, _ := os.ReadFile(n.file)
	_ = json.Unmarshal(b, &s)
	return s.PortRange[0]
}

// start starts the process with the command of the deploy file. The metrics port is a flag of its own, as machines share this host.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	cmd := exec.Command("target/edge")
	cmd.Env = append(os.Environ(), settingsVariable+"="+n.file, "GERANIUMHOLLOW_METRICS_PORT="+strconv.Itoa(n.metrics))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.mu.Lock()
	n.cmd = cmd
	n.starts++
	n.mu.Unlock()
	n.w.rec.printf("%s starts, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		n.mu.Lock()
		n.cmd = nil
		stopped := n.stopped
		n.mu.Unlock()
		n.w.rec.printf("%s ended: %v", n.name, err)
		if !stopped && n.w.ctx.Err() == nil {
			time.Sleep(restartTime)
			_ = n.start()
		}
	}()
	return nil
}

// end ends the process for good.
func (n *node) end() {
	n.mu.Lock()
	n.stopped = true
	cmd := n.cmd
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		for range 100 {
			n.mu.Lock()
			gone := n.cmd == nil
			n.mu.Unlock()
			if gone {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// rssMb returns the resident memory of the process.
func (n *node) rssMb() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// enforceMemory kills the process when it exceeds the memory of its machine, as the platform does.
func (n *node) enforceMemory() {
	for n.w.ctx.Err() == nil {
		mb := n.rssMb()
		n.mu.Lock()
		n.peakMb = max(n.peakMb, mb)
		n.mu.Unlock()
		if mb > memoryMb {
			n.w.rec.printf("%s holds %d MB, more than the %d MB of its machine: killed", n.name, mb, memoryMb)
			n.mu.Lock()
			n.memKills++
			n.mu.Unlock()
			n.signal(syscall.SIGKILL)
			time.Sleep(restartTime / 2)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// isReady asks as the balancer does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until something holds.
func (w *world) await(what string, within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", within, what)
}
