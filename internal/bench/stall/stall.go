// Package stall measures the memory of a node against callers that ask for long answers and do not read
// them.
package stall

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/plat/engine"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Shape of the load.
const (
	engines     = 4
	answer      = 8_000
	readBuffer  = 8 << 10
	settleTime  = 8 * time.Second
	waitLimit   = 30 * time.Second
	pollPause   = 100 * time.Millisecond
	dialTimeout = 2 * time.Second
	mebibyte    = 1 << 20
)

// overheadBytes is what a connection with a stalled answer may take beside the byte budget. 48 KiB are
// the buffers of the HTTP server, the events that are being written, and the goroutines of the connection
// and the request. The collector lets garbage grow to the size of what is in use, so these count twice,
// and so does the request's buffer of up to 64 KiB, whose first half is in the byte budget.
const overheadBytes = 2*48<<10 + 64<<10

// readers are the numbers of stalled callers that are measured.
var readers = []int{0, 250, 500, 1_000}

// ErrBound means that the node holds more than it may.
var ErrBound = errors.New("memory is past the bound")

type options struct {
	node, platformFile, pidFile string
	nodeBuffer                  int
}

// Command returns the stall subcommand. It starts the stand-ins and expects a node that somebody else
// starts, so that the memory of the node's process is that of the node alone.
func Command() *cli.Command {
	var o options
	return &cli.Command{
		Name:  "stall",
		Usage: "measure the memory of a running node against callers that do not read",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "caller address of the node", Required: true, Destination: &o.node},
			&cli.StringFlag{Name: "platform-file", Usage: "file that gets the address of the platform stand-in", Required: true, Destination: &o.platformFile},
			&cli.StringFlag{Name: "pid-file", Usage: "file that holds the process id of the node", Required: true, Destination: &o.pidFile},
			&cli.IntFlag{Name: "node-buffer-bytes", Usage: "byte budget of the node", Value: 32 * mebibyte, Destination: &o.nodeBuffer},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			g := tasks.New(ctx)
			g.Go("measure", func(ctx context.Context) error {
				defer cancel()
				return measure(ctx, g, o, os.Stdout)
			})
			return g.Wait()
		},
	}
}

func measure(ctx context.Context, g *tasks.Group, o options, w io.Writer) error {
	d := site.Strygekurv().WithRunners(engines)
	addr, err := start(g, d, o.nodeBuffer)
	if err != nil {
		return err
	}
	if err := os.WriteFile(o.platformFile, []byte(addr), 0o600); err != nil {
		return errors.Newf("write platform address: %w", err)
	}
	pid, err := waitNode(ctx, o, d)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "node_buffer_bytes %d MiB, overhead %d KiB for each connection, answers of %d tokens\n\n",
		o.nodeBuffer/mebibyte, overheadBytes>>10, answer)
	_, _ = fmt.Fprintln(w, "| stalled callers | resident MiB | above idle MiB | bound above idle MiB |")
	_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- |")
	var conns []net.Conn
	defer func() {
		for _, nc := range conns {
			_ = nc.Close()
		}
	}()
	idle := 0
	for _, n := range readers {
		for len(conns) < n {
			nc, err := stalledCaller(ctx, o.node, d)
			if err != nil {
				return err
			}
			conns = append(conns, nc)
		}
		peak, err := peakResident(ctx, pid)
		if err != nil {
			return err
		}
		if n == 0 {
			idle = peak
		}
		bound := o.nodeBuffer + n*overheadBytes
		_, _ = fmt.Fprintf(w, "| %d | %.1f | %.1f | %.1f |\n", n, mib(peak), mib(peak-idle), mib(bound))
		if peak-idle > bound {
			return errors.Newf("%d callers: %d bytes above idle, bound %d: %w", n, peak-idle, bound, ErrBound)
		}
	}
	return nil
}

func mib(n int) float64 { return float64(n) / mebibyte }

// start starts the platform and engines that send as fast as they can, and returns the address of the
// platform.
func start(g *tasks.Group, d site.Deployment, nodeBuffer int) (string, error) {
	at := site.Addresses{Instances: make([]string, d.Instances)}
	for i := range d.Runners {
		e := model.New(model.Config{
			Group: d.GroupName(i), Generation: 1, Hosts: d.RunnerHosts(i), Model: d.Model, Version: "v1",
		}, engine.Warm)
		addr, err := listen(g, d.GroupName(i), e.Serve)
		if err != nil {
			return "", err
		}
		at.Runners = append(at.Runners, addr)
	}
	doc := d.Document(at)
	doc.Limits = schema.Limits{NodeBufferBytes: nodeBuffer, AccountBufferBytes: nodeBuffer}
	for i := range doc.Groups {
		// The engines must take every caller, or the node would hold some of them in its queue.
		doc.Groups[i].Capacity = schema.Capacity{ColdRequests: engineRequests, WarmRequests: engineRequests}
	}
	platform := store.New()
	addr, err := listen(g, "platform", platform.Serve)
	if err != nil {
		return "", err
	}
	if _, err := apply.New(platform, time.Now).Commit(g.Context(), 0, "stall", doc); err != nil {
		return "", errors.Newf("commit configuration: %w", err)
	}
	return addr, nil
}

func listen(g *tasks.Group, name string, serve func(context.Context, net.Listener) error) (string, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(g.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Newf("listen for %s: %w", name, err)
	}
	g.Go(name, func(ctx context.Context) error { return serve(ctx, ln) })
	return ln.Addr().String(), nil
}

// waitNode waits for the node to answer a completion and returns its process id.
func waitNode(ctx context.Context, o options, d site.Deployment) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	for {
		raw, err := os.ReadFile(o.pidFile)
		if err == nil && serves(ctx, o.node, d) {
			pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
			if err != nil {
				return 0, errors.Newf("read process id: %w", err)
			}
			return pid, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Newf("wait for the node: %w", ctx.Err())
		case <-time.After(pollPause):
		}
	}
}

func serves(ctx context.Context, node string, d site.Deployment) bool {
	body := fmt.Sprintf(`{"model":%q,"prompt":"a short answer","max_tokens":1}`, d.Model)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+d.AccountKey(0))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// engineRequests is what each stand-in engine takes.
const engineRequests = 4096

// okStatus is what an answer begins with.
const okStatus = "HTTP/1.1 200"

// errNotServed means that a caller got no answer to stall.
var errNotServed = errors.New("the request was not served")

// stalledCaller asks for a long stream and reads nothing but the status of it.
func stalledCaller(ctx context.Context, node string, d site.Deployment) (net.Conn, error) {
	nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", node)
	if err != nil {
		return nil, errors.Newf("dial node: %w", err)
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readBuffer)
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"a long answer","max_tokens":%d,"stream":true}`, d.Model, answer)
	_, err = fmt.Fprintf(nc, "POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		d.AccountKey(0), len(body), body)
	if err != nil {
		_ = nc.Close()
		return nil, errors.Newf("send request: %w", err)
	}
	status := make([]byte, len(okStatus))
	_ = nc.SetReadDeadline(time.Now().Add(waitLimit))
	if _, err := io.ReadFull(nc, status); err != nil || string(status) != okStatus {
		_ = nc.Close()
		return nil, errors.Newf("answer %q, %v: %w", status, err, errNotServed)
	}
	return nc, nil
}

// peakResident returns the largest resident size of a process while the load settles.
func peakResident(ctx context.Context, pid int) (int, error) {
	end := time.Now().Add(settleTime)
	peak := 0
	for time.Now().Before(end) {
		n, err := resident(pid)
		if err != nil {
			return 0, err
		}
		peak = max(peak, n)
		select {
		case <-ctx.Done():
			return 0, errors.Newf("watch memory: %w", ctx.Err())
		case <-time.After(pollPause):
		}
	}
	return peak, nil
}

// resident returns the resident size of a process in bytes.
func resident(pid int) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Newf("read memory of the node: %w", err)
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, errors.New("read memory of the node: too few fields")
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, errors.Newf("read memory of the node: %w", err)
	}
	return pages * os.Getpagesize(), nil
}
