// Package usage counts requests by client account and window of time, and merges the counts of all nodes for the report that one node
// sends to the platform.
//
// Window k begins k times the length of a window after 1970-01-01 in true time. Each node counts what it serves in a Counter, and
// sends its counts towards the holder of the duty to report them. Counts of a window only grow, so that merging takes the highest
// count per process, window and account: it is idempotent, does not depend on the order of messages, and allows messages that name
// only the accounts whose counts have changed.
package usage

import (
	"maps"
	"math"
	"slices"
	"time"

	"geraniumhollow/internal/wire/frame"
)

// Window returns the number of the window that contains a point of true time, 0 for times before 1970.
func Window(t time.Time, length time.Duration) uint64 {
	ns := t.UnixNano()
	if ns < 0 || length <= 0 {
		return 0
	}
	return uint64(ns / int64(length))
}

// WindowEnd returns the true time at which a window ends.
func WindowEnd(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Process identifies one process of a node.
type Process struct {
	// Node is the address that identifies the node.
	Node        string
	Incarnation string
}

// Counts holds numbers of requests that began to run by client account.
type Counts map[string]uint64

// WindowCounts holds the counts of one process for a window.
type WindowCounts struct {
	Window uint64
	// Counts may lack accounts whose counts have not changed since the last report of the process, unless Final is set.
	Counts Counts
	// Final is set if the counts are complete and will not change.
	Final bool
}

// Demand counts the requests for a model that one node received since it last reported demand, and what became of requests in that
// time. Each number covers the time since the previous report of the same process, so that a receiver adds them up; reports of a
// process that were lost are not repeated. All numbers of requests count requests of callers, not attempts at backend servers, and
// are counted by the node that received them from the caller.
type Demand struct {
	Service string
	// Model is empty where requests name none.
	Model string
	// DataCentre is that of the node that received the requests.
	DataCentre string
	// Arrivals is the number of requests that arrived, including those that were refused, and PromptTokens the size of their prompts.
	Arrivals     uint64
	PromptTokens uint64
	// AnswerTokens is the number of tokens of answers that were received in that time.
	AnswerTokens uint64
	// Refused is the number of requests that were refused for lack of capacity.
	Refused uint64
	// Late is the number of requests whose first token arrived after their latency objective, or that ended without one after it.
	Late uint64
}

// Report holds what one process reports.
type Report struct {
	Process Process
	Windows []WindowCounts
	// DemandSeq numbers the demand of a process from 1. It is 0 without demand. Receivers ignore demand that they have had.
	DemandSeq uint64
	Demand    []Demand
}

// maxFrameElements limits the accounts, windows, processes and models in one frame, as the decoder of frames does.
const maxFrameElements = 1000

// frameBuilder distributes reports over messages. Each message names an account once, because most accounts occur at many nodes.
type frameBuilder struct {
	out []*frame.UsageReport
	// positions holds the positions of the accounts in the last message, size its number of elements.
	positions map[string]int
	size      int
}

// reserve returns the last message, or a new one if it has no room for n more elements.
func (b *frameBuilder) reserve(n int) *frame.UsageReport {
	if len(b.out) == 0 || b.size+n > maxFrameElements {
		b.out, b.positions, b.size = append(b.out, &frame.UsageReport{}), make(map[string]int), 0
	}
	b.size += n
	return b.out[len(b.out)-1]
}

// process returns the entry for a process in the last message, which has room for n more elements.
func (b *frameBuilder) process(p Process, n int) (*frame.UsageReport, *frame.NodeUsage) {
	m := b.reserve(n + 1)
	if last := len(m.List) - 1; last < 0 || m.List[last].Node != p.Node || m.List[last].Inc != p.Incarnation {
		m.List = append(m.List, frame.NodeUsage{Node: p.Node, Inc: p.Incarnation})
	}
	return m, &m.List[len(m.List)-1]
}

// add adds the counts of a window in parts that fit into a frame. Only the last part is final.
func (b *frameBuilder) add(p Process, w WindowCounts) {
	accounts := slices.Sorted(maps.Keys(w.Counts))
	for {
		part := accounts[:min(len(accounts), maxFrameElements/4)]
		accounts = accounts[len(part):]
		m, u := b.process(p, 1+2*len(part))
		f := frame.WindowUsage{Window: int(w.Window), Final: w.Final && len(accounts) == 0}
		for _, account := range part {
			k, ok := b.positions[account]
			if !ok {
				k = len(m.Accounts)
				m.Accounts, b.positions[account] = append(m.Accounts, account), k
			}
			f.Accounts, f.Counts = append(f.Accounts, k), append(f.Counts, int(w.Counts[account]))
		}
		u.Windows = append(u.Windows, f)
		if len(accounts) == 0 {
			return
		}
	}
}

// ToFrames converts reports to their wire format, in as many messages as their size requires.
func ToFrames(list []Report) []*frame.UsageReport {
	var b frameBuilder
	for _, r := range list {
		if r.DemandSeq > 0 {
			demand := r.Demand[:min(len(r.Demand), maxFrameElements/2)]
			m := b.reserve(1 + len(demand))
			u := frame.NodeUsage{Node: r.Process.Node, Inc: r.Process.Incarnation, DemandSeq: int(r.DemandSeq)}
			for _, d := range demand {
				u.Demand = append(u.Demand, demandToFrame(d))
			}
			m.List = append(m.List, u)
		}
		for _, w := range r.Windows {
			b.add(r.Process, w)
		}
	}
	return b.out
}

// FromFrame converts reports from their wire format. It leaves out what no node sends.
func FromFrame(m *frame.UsageReport) []Report {
	out := make([]Report, 0, len(m.List))
	for _, u := range m.List {
		if u.Node == "" || u.Inc == "" {
			continue
		}
		r := Report{Process: Process{Node: u.Node, Incarnation: u.Inc}, DemandSeq: number(u.DemandSeq)}
		for _, w := range u.Windows {
			r.Windows = append(r.Windows, WindowCounts{Window: number(w.Window), Counts: countsFromFrame(m.Accounts, w), Final: w.Final})
		}
		for _, d := range u.Demand {
			r.Demand = append(r.Demand, Demand{
				Service: d.Service, Model: d.Model, DataCentre: d.Dc, Arrivals: number(d.Arrivals), PromptTokens: number(d.Prompt),
				AnswerTokens: number(d.Answer), Refused: number(d.Refused), Late: number(d.Late),
			})
		}
		out = append(out, r)
	}
	return out
}

func countsFromFrame(accounts []string, w frame.WindowUsage) Counts {
	counts := make(Counts, len(w.Counts))
	for i, n := range w.Counts[:min(len(w.Counts), len(w.Accounts))] {
		k := w.Accounts[i]
		if k >= 0 && k < len(accounts) && accounts[k] != "" && n > 0 && n <= math.MaxInt32 {
			counts[accounts[k]] = uint64(n)
		}
	}
	return counts
}

func demandToFrame(d Demand) frame.ModelDemand {
	return frame.ModelDemand{
		Service: d.Service, Model: d.Model, Dc: d.DataCentre, Arrivals: int(d.Arrivals), Prompt: int(d.PromptTokens),
		Answer: int(d.AnswerTokens), Refused: int(d.Refused), Late: int(d.Late),
	}
}

// number returns a number of a message, 0 for one that no node sends.
func number(n int) uint64 { return uint64(max(0, n)) }
