package crash

import (
	"time"

	"geraniumhollow/internal/wire/frame"
)

// Findings are what a node has found out of requests that may crash backend servers, for the other nodes.
type Findings struct {
	Suspicions []Suspicion
	// Deaths are deaths of servers with the requests of this node that were on them.
	Deaths      []Death
	Quarantines []Quarantine
	// Safe are parts that a server has answered since they were suspected.
	Safe []Part
}

// Empty reports whether there is nothing to share.
func (f Findings) Empty() bool {
	return len(f.Suspicions) == 0 && len(f.Deaths) == 0 && len(f.Quarantines) == 0 && len(f.Safe) == 0
}

// ToFrame converts findings to the wire format between nodes.
func (f Findings) ToFrame() frame.SuspectRequest {
	out := frame.SuspectRequest{List: ToFrames(f.Suspicions), SafeParts: convert(f.Safe, func(p Part) string { return string(p) })}
	for _, d := range f.Deaths {
		runs := convert(d.Runs, func(r PromptRun) frame.PromptRun {
			return frame.PromptRun{Parts: convert(r.Parts, func(p Part) string { return string(p) }), Began: r.Began, Request: string(r.Request)}
		})
		out.Deaths = append(out.Deaths, frame.ServerDeath{Process: d.Process, Runs: runs})
	}
	for _, q := range f.Quarantines {
		out.Quarantines = append(out.Quarantines, frame.PartQuarantine{Part: string(q.Part), Trials: q.Trials, AgeMs: int(q.Age.Milliseconds())})
	}
	return out
}

// FindingsFromFrame converts findings from the wire format between nodes.
func FindingsFromFrame(m *frame.SuspectRequest) Findings {
	out := Findings{Suspicions: FromFrames(m.List), Safe: convert(m.SafeParts, func(p string) Part { return Part(p) })}
	for _, d := range m.Deaths {
		runs := convert(d.Runs, func(r frame.PromptRun) PromptRun {
			return PromptRun{Parts: convert(r.Parts, func(p string) Part { return Part(p) }), Began: r.Began, Request: Fingerprint(r.Request)}
		})
		out.Deaths = append(out.Deaths, Death{Process: d.Process, Runs: runs})
	}
	for _, q := range m.Quarantines {
		out.Quarantines = append(out.Quarantines, Quarantine{
			Part: Part(q.Part), Trials: q.Trials, Age: time.Duration(q.AgeMs) * time.Millisecond,
		})
	}
	return out
}

// ToFrames converts suspicions to the wire format between nodes.
func ToFrames(list []Suspicion) []frame.Suspicion {
	return convert(list, func(s Suspicion) frame.Suspicion {
		return frame.Suspicion{Fp: string(s.Fingerprint), Change: string(s.Change), Crashes: s.Crashes}
	})
}

// FromFrames converts suspicions from the wire format between nodes.
func FromFrames(list []frame.Suspicion) []Suspicion {
	return convert(list, func(s frame.Suspicion) Suspicion {
		return Suspicion{Fingerprint: Fingerprint(s.Fp), Change: Change(s.Change), Crashes: s.Crashes}
	})
}

func convert[T, U any](list []T, f func(T) U) []U {
	out := make([]U, 0, len(list))
	for _, v := range list {
		out = append(out, f(v))
	}
	return out
}
