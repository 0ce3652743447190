package edge

import (
	"context"
	"strconv"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/seat"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/queue"
	"github.com/prometheus/client_golang/prometheus"
)

// pressureInterval is the time between messages to other nodes about the demand for models whose servers are nearly busy, so that nodes
// three steps from the first one agree within a second. While servers have room, only every calmRounds-th message is sent: a node with
// eight children would else send 5 KB/s for one model all the time.
const (
	pressureInterval = 200 * time.Millisecond
	calmRounds       = 4
)

// sharePressure combines the demand for models with that of other nodes, until ctx ends.
func (n *Node) sharePressure(ctx context.Context) error {
	round := 0
	return tasks.Every(ctx, pressureInterval, func(context.Context) {
		round++
		if own, urgent := n.seats.Pressure(); urgent || round%calmRounds == 0 {
			n.exchangePressure(own)
		}
	})
}

func (n *Node) exchangePressure(own []queue.ModelTotals) {
	upstream := n.mesh.Upstream()
	out := n.pressure.Exchange(time.Now(), own, upstream, n.mesh.Size())
	for _, t := range out.Fleet {
		n.seats.SetFleetTotals(out.At, t)
	}
	if len(out.Up) > 0 && upstream != "" {
		n.mesh.SendPressure(upstream, false, out.Up)
	}
	if len(out.Down) == 0 {
		return
	}
	for _, node := range out.Children {
		n.mesh.SendPressure(node, true, out.Down)
	}
}

// handlePressure records the demand for models that another node knows.
func (n *Node) handlePressure(from string, total bool, list []queue.ModelTotals) {
	now := time.Now()
	if !total {
		n.pressure.Below(now, from, list)
		return
	}
	for _, node := range n.pressure.Upstream(now, from, n.mesh.Upstream(), list) {
		n.mesh.SendPressure(node, true, list)
	}
}

// queueCollector exports the state of the waiting queues.
type queueCollector struct {
	lines func() []seat.LineStatus
}

var (
	waitingDesc = prometheus.NewDesc(metric.Name("queue_waiting_requests"),
		"Requests that wait at this node for a backend server, by priority.", []string{"priority"}, nil)
	thresholdDesc = prometheus.NewDesc(metric.Name("queue_threshold"),
		"Admission level by model: priorities below its integer part are admitted, and its fraction of the next one.", []string{"model", "source"}, nil)
	occupancyDesc = prometheus.NewDesc(metric.Name("queue_occupancy"),
		"Requests of all nodes at the servers of a model relative to their target.", []string{"model"}, nil)
)

// Describe implements prometheus.Collector.
func (queueCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- waitingDesc
	ch <- thresholdDesc
	ch <- occupancyDesc
}

// Collect implements prometheus.Collector. Its models are those of known servers.
func (c queueCollector) Collect(ch chan<- prometheus.Metric) {
	lines := c.lines()
	var waiting [queue.Levels]int
	for _, l := range lines {
		for i, n := range l.Waiting {
			waiting[i] += n
		}
		ch <- prometheus.MustNewConstMetric(thresholdDesc, prometheus.GaugeValue, l.Threshold, l.Model, string(l.Source))
		ch <- prometheus.MustNewConstMetric(occupancyDesc, prometheus.GaugeValue, l.Occupancy, l.Model)
	}
	if len(lines) == 0 {
		return
	}
	for i, n := range waiting {
		ch <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(n), strconv.Itoa(i))
	}
}
