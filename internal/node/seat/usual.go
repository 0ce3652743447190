package seat

import (
	"math"

	"geraniumhollow/internal/node/pass"
)

// usualStep is the weight of each reported load in the mean: some dozens of them count.
const usualStep = 0.05

// mean is a mean in which later values weigh more. A nil one is 0.
type mean struct {
	value float64
}

func (m *mean) rounded() int {
	if m == nil {
		return 0
	}
	return int(math.Round(m.value))
}

// learn takes the load that a server has told. The lock must be held.
func (s *Seats) learn(offer string, l pass.Load) {
	told := float64(l.Running + l.Waiting)
	m, ok := s.usual[offer]
	if !ok {
		s.usual[offer] = &mean{value: told}
		return
	}
	m.value += usualStep * (told - m.value)
}
