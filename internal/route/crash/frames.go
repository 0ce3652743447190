package crash

import "geraniumhollow/internal/wire/frame"

// ToFrames converts suspicions to the wire format between nodes.
func ToFrames(list []Suspicion) []frame.Suspicion {
	out := make([]frame.Suspicion, 0, len(list))
	for _, s := range list {
		out = append(out, frame.Suspicion{Fp: string(s.Fingerprint), Change: string(s.Change), Crashes: s.Crashes})
	}
	return out
}

// FromFrames converts suspicions from the wire format between nodes.
func FromFrames(list []frame.Suspicion) []Suspicion {
	out := make([]Suspicion, 0, len(list))
	for _, s := range list {
		out = append(out, Suspicion{Fingerprint: Fingerprint(s.Fp), Change: Change(s.Change), Crashes: s.Crashes})
	}
	return out
}
