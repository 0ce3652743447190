// Package usage counts requests by client account and window of time, and merges the counts of all nodes for the report that one node
// sends to the platform.
//
// Window k begins k times the length of a window after 1970-01-01 in true time. Each node counts what it serves in a Counter, and
// sends its counts towards the holder of the duty to report them. Counts of a window only grow, so that merging takes the highest
// count per process, window and account: it is idempotent, does not depend on the order of messages, and allows messages that name
// only the accounts whose counts have changed.
package usage

import (
	"math"
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

// ToFrames converts reports to their wire format, in as many messages as their size requires.
func ToFrames(list []Report) []*frame.UsageReport {
	var out []*frame.UsageReport
	var current *frame.UsageReport
	size := 0
	add := func(u frame.NodeUsage, n int) {
		if current == nil || size+n > maxFrameElements {
			current, size = &frame.UsageReport{}, 0
			out = append(out, current)
		}
		current.List, size = append(current.List, u), size+n
	}
	for _, r := range list {
		u := frame.NodeUsage{Node: r.Process.Node, Inc: r.Process.Incarnation, DemandSeq: int(r.DemandSeq)}
		for _, d := range r.Demand[:min(len(r.Demand), maxFrameElements)] {
			u.Demand = append(u.Demand, demandToFrame(d))
		}
		n := 1 + len(u.Demand)
		for _, w := range r.Windows {
			for _, part := range splitCounts(w) {
				if n+1+len(part.Counts) > maxFrameElements {
					add(u, n)
					u, n = frame.NodeUsage{Node: u.Node, Inc: u.Inc}, 1
				}
				u.Windows, n = append(u.Windows, part), n+1+len(part.Counts)
			}
		}
		add(u, n)
	}
	return out
}

// splitCounts returns the counts of a window in parts that fit into a frame. Only the last part is final.
func splitCounts(w WindowCounts) []frame.WindowUsage {
	out := []frame.WindowUsage{{Window: int(w.Window), Counts: make(map[string]int)}}
	for account, n := range w.Counts {
		if len(out[len(out)-1].Counts) >= maxFrameElements/2 {
			out = append(out, frame.WindowUsage{Window: int(w.Window), Counts: make(map[string]int)})
		}
		out[len(out)-1].Counts[account] = int(n)
	}
	out[len(out)-1].Final = w.Final
	return out
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
			counts := make(Counts, len(w.Counts))
			for account, n := range w.Counts {
				if account != "" && n > 0 && n <= math.MaxInt32 {
					counts[account] = uint64(n)
				}
			}
			r.Windows = append(r.Windows, WindowCounts{Window: number(w.Window), Counts: counts, Final: w.Final})
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

func demandToFrame(d Demand) frame.ModelDemand {
	return frame.ModelDemand{
		Service: d.Service, Model: d.Model, Dc: d.DataCentre, Arrivals: int(d.Arrivals), Prompt: int(d.PromptTokens),
		Answer: int(d.AnswerTokens), Refused: int(d.Refused), Late: int(d.Late),
	}
}

// number returns a number of a message, 0 for one that no node sends.
func number(n int) uint64 { return uint64(max(0, n)) }
