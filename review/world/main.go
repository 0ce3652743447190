//go:build review

// Command world runs the platform's side of a review case: the store, the runners and the clients. It starts nodes with the
// command of the deploy file, makes the disruption, and checks one rule from what runners and clients see.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
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
	"sync"
	"syscall"
	"time"

	"geraniumhollow/platform/standin"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Figures of the sheet of strygekurv-fleet.
const (
	beat      = 1200 * time.Millisecond
	lapse     = 3 * beat
	stallTime = 5 * time.Second
	formTime  = 300 * time.Millisecond
	loadTime  = 16 * time.Second
	warmTime  = 1600 * time.Millisecond
	sameTime  = 200 * time.Millisecond
	groupSize = 6
	slots     = 26
	model     = "m0"
	service   = "llm"
	apiKey    = "key-1"
	routeHost = "t.example"
)

// world is what all parts share.
type world struct {
	mu      sync.Mutex
	begun   time.Time
	record  *os.File
	store   *standin.Store
	runners map[string]*runner
	// ready holds the formations in which each runner has been ready.
	ready  map[string]bool
	served bool
	breaks []string
	// counts are the answers by status.
	counts map[int]int
	runs   int
	// lives counts the lives of runners.
	lives int
	// late reports whether an order gets no answer; nil for none. orders and lateOrders count them.
	late               func(r *runner, o order) bool
	orders, lateOrders int
	// giver is the IP address of the node that gave the last order.
	giver string
	// gone is the IP address of the node that is lost for good, to which the platform sends no clients.
	gone string
	// answered are the requests that have ended, lostAt is when the power was lost.
	answered []answered
	lostAt   time.Time
}

// answered is a request that has ended.
type answered struct {
	sent time.Time
	// served says that its client got a whole answer with success.
	served bool
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.begun).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

func (w *world) breakf(format string, args ...any) {
	msg := fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, msg)
	if len(w.breaks) <= 10 {
		w.logf("BROKEN %s", msg)
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	w := &world{
		begun: time.Now(), record: f, store: standin.NewStore(), runners: make(map[string]*runner),
		ready: make(map[string]bool), counts: make(map[int]int),
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	code := c(ctx, w, dir, os.Getenv("TROUBLE") != "0")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("answers by status %v, %d runs, %d breaks, exit %d", w.counts, w.runs, len(w.breaks), code)
	fmt.Printf("%s: exit %d, answers %v, runs %d, breaks %d\n", name, code, w.counts, w.runs, len(w.breaks))
	return code
}

var cases = map[string]func(ctx context.Context, w *world, dir string, trouble bool) int{"partial": partial, "recover": recovered, "spoilt": spoilt, "late": lateOrders}

// serveStore starts the store and returns its address.
func (w *world) serveStore() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: w.store}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// manifest returns the configuration.
func manifest() []byte {
	m := map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r1", "Host": routeHost, "Prefix": "/stream/", "Kind": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 250, "TargetGapMs": 200,
			"Service": service, "MaxAttempts": 2, "Sticky": true, "Resumable": true, "Priority": 1,
		}},
		"Services": []any{map[string]any{
			"Name": service, "MaxConns": 464, "ColdPerS": 36, "HealthPath": "/health", "Engine": map[string]any{
				"Slots": slots, "KvTokens": 2470000, "Stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100, "pairs_per_m": 0.309,
				"chunk": 2048, "LoadsPerS": 5.5, "loads_at_once": 8, "usual": map[string]any{"prompt": 674, "answer": 185}, "RetainCount": 1,
				"FormMs": formTime.Milliseconds(), "far_x": 3.0, "report_lag_ms": 200,
				"Models": []any{map[string]any{"Name": model, "size": groupSize, "Share": 1.0, "pace": 1.0, "LoadS": loadTime.Seconds(), "WarmS": warmTime.Seconds()}},
			},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 8192, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 5000},
		"Tenants": []any{map[string]any{"Name": "t1", "ApiKeys": []string{apiKey}}},
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // A map of plain values always has a JSON form.
	}
	return b
}

// node is an edge machine.
type node struct {
	name, ip, zone, store, front, settings string
	port                                   int
	log                                    *os.File
	cmd                                    *exec.Cmd
}

// zones are the data centres, one node each.
var zones = []string{"esbjerg", "herning", "vejle"}

// freePorts returns n consecutive ports that are free at an address.
func freePorts(ip string, n int) (int, error) {
	for range 200 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		first := ln.Addr().(*net.TCPAddr).Port
		ok := first+n < 65536
		_ = ln.Close()
		for p := first; ok && p < first+n; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				ok = false
				break
			}
			_ = l.Close()
		}
		if ok {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// newNode makes a node with its settings.
func newNode(i int, dir, store string) (*node, error) {
	n := &node{name: fmt.Sprintf("edge-%s-1", zones[i]), ip: fmt.Sprintf("127.0.1.%d", i+1), zone: zones[i], store: store}
	var err error
	if n.port, err = freePorts(n.ip, 5); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(dir, n.name+".json")
	if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
		return nil, err
	}
	n.front = net.JoinHostPort(n.ip, strconv.Itoa(n.port))
	return n, n.writeSettings(true)
}

// writeSettings writes the settings file. first says that the whole system starts for the first time.
func (n *node) writeSettings(first bool) error {
	p := n.port
	at := func(k int) string { return net.JoinHostPort(n.ip, strconv.Itoa(p+k)) }
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "dk-vest"
	}
	set := map[string]any{
		"NodeName": n.name, "Role": "edge", "MachineClass": "edge", "Serves": []string{"edge"}, "Ip": n.ip, "Zone": n.zone, "Region": "dk-vest",
		"PortRange": []int{p + 3, p + 4}, "Seeds": []string{}, "Bootstrap": first, "CountsAsLoss": false, "Discovery": "platform", "Entry": "vip",
		"HeartbeatMs": beat.Milliseconds(), "Contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "pressure", "platform", "gangs"},
		"Zones":    zoneMap,
		"Listen":   map[string]any{"Front": at(0), "Ready": at(1), "Control": at(2)},
		"Limits":   map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Tolerate": map[string]any{"Machines": 2, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "StabilityMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
			"RollbackSlackMs": 250, "MaxSkewMs": 5000, "StrictRevoke": false, "RevokeMs": 5000, "RetryRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 130, "ColdOverage": 1.5,
			"ColdSlack": 5, "EvacuateMs": 5000, "RecoveryS": 12, "PassMs": 120, "RetryAfterS": 0, "StallMs": stallTime.Milliseconds(), "RequireFence": false, "CeilingWindowS": 5, "CeilingOverage": 1.1,
		},
		"Platform": map[string]any{
			"Address": n.store, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxnMs": 5.0, "PartWritesS": 200, "RowBytes": 65536, "Across": false, "HistoryS": 20,
			"BlobBytes": 8388608, "BlobMs": 25.0, "BlobMbS": 80.0,
		},
	}
	b, err := json.Marshal(set)
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, b, 0o600)
}

// start starts a process of the node with the command of the deploy file.
func (n *node) start() error {
	n.cmd = exec.Command("target/edge")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GERANIUMHOLLOW_NODE_FILE=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	return n.cmd.Start()
}

// kill ends the process of the node.
func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}
