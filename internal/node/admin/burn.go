package admin

import (
	"bytes"
	"context"
	"net/http"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/report/burn"
	"github.com/valyala/fasthttp"
)

// pathPlot is the plot of the page with the burn report.
const pathPlot = "/burn/plot.svg"

// burnData is the burn report, or why there is none.
type burnData struct {
	Report burn.Report
	Plot   string
	*Problem
}

// objectives returns the service-level objectives in force.
func (s *Server) objectives() []schema.Objective { return s.View().Document().Objectives }

func (s *Server) snapshots(ctx context.Context) (burn.Snapshots, *Problem) {
	snaps, err := s.Burn(ctx)
	if err != nil {
		s.Log.Warn("burn snapshots not read", "error", err)
		return burn.Snapshots{}, problem(http.StatusServiceUnavailable, CodeUnavailable,
			"the object store does not answer", "The snapshots of all nodes are there. Try again later.")
	}
	return snaps, nil
}

func (s *Server) burnReport(ctx context.Context) (burn.Report, *Problem) {
	snaps, p := s.snapshots(ctx)
	if p != nil {
		return burn.Report{}, p
	}
	return snaps.Report(s.Now(), s.objectives()), nil
}

func (s *Server) apiBurn(ctx context.Context, _ *fasthttp.RequestCtx) (any, *Problem) {
	return s.burnReport(ctx)
}

func (s *Server) burnPage(v visit) {
	rep, p := s.burnReport(v.ctx)
	if p != nil {
		s.show(v, p.Status, "burn", "Service-level burn", burnData{Problem: p})
		return
	}
	s.show(v, http.StatusOK, "burn", "Service-level burn", burnData{Report: rep, Plot: pathPlot})
}

// burnPlot serves the plot as an image of its own, since the pages allow no styles within them.
func (s *Server) burnPlot(v visit) {
	snaps, p := s.snapshots(v.ctx)
	if p != nil {
		writeProblem(v.RequestCtx, p)
		return
	}
	var buf bytes.Buffer
	if err := burn.WritePlot(&buf, s.Now(), s.objectives(), snaps.Nodes); err != nil {
		writeProblem(v.RequestCtx, s.internalProblem(err))
		return
	}
	v.SetContentType("image/svg+xml")
	v.SetBody(buf.Bytes())
}
