package admin

import (
	"bytes"
	"context"
	"net/http"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/report/burn"
	"github.com/valyala/fasthttp"
)

// pathPlot is the URL path of the plot on the burn report page.
const pathPlot = "/burn/plot.svg"

// burnData is the template data of the burn page: the burn report, or the problem that prevented it. Plot is
// the URL path of the plot.
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
		s.Log.Warn("failed to read the burn snapshots", "error", err)
		return burn.Snapshots{}, problem(http.StatusServiceUnavailable, CodeUnavailable,
			"the object store does not answer", "It holds the snapshots of all nodes. Try again later.")
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

func (s *Server) burnPage(req pageRequest) {
	rep, p := s.burnReport(req.ctx)
	if p != nil {
		s.show(req, p.Status, "burn", "Service-level burn", burnData{Problem: p})
		return
	}
	s.show(req, http.StatusOK, "burn", "Service-level burn", burnData{Report: rep, Plot: pathPlot})
}

// burnPlot serves the plot as a separate image, because the Content-Security-Policy of the pages forbids
// inline styles.
func (s *Server) burnPlot(req pageRequest) {
	snaps, p := s.snapshots(req.ctx)
	if p != nil {
		writeProblem(req.RequestCtx, p)
		return
	}
	var buf bytes.Buffer
	if err := burn.WritePlot(&buf, s.Now(), s.objectives(), snaps.Nodes); err != nil {
		writeProblem(req.RequestCtx, s.internalProblem(err))
		return
	}
	req.SetContentType("image/svg+xml")
	req.SetBody(buf.Bytes())
}
