package seat

import (
	"math"

	"geraniumhollow/internal/node/pass"
)

// loadSmoothing is the weight of each reported load in the moving average, which thus covers a few dozen reports.
const loadSmoothing = 0.05

// movingAverage is an exponentially weighted moving average. A nil pointer counts as 0.
type movingAverage struct {
	value float64
}

func (m *movingAverage) rounded() int {
	if m == nil {
		return 0
	}
	return int(math.Round(m.value))
}

// observeLoad adds the reported load of a server to the average of its model key. The caller must hold mu.
func (s *Picker) observeLoad(key string, l pass.Load) {
	reported := float64(l.Running + l.Waiting)
	avg, ok := s.averageLoad[key]
	if !ok {
		s.averageLoad[key] = &movingAverage{value: reported}
		return
	}
	avg.value += loadSmoothing * (reported - avg.value)
}
