package burn

import (
	"io"
	"time"

	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// plotStep is the time between points; each point is the burn over the window before it.
const plotStep = 5 * time.Minute

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Point is the burn of an objective over the five minutes before At.
type Point struct {
	At   time.Time `json:"at"`
	Burn float64   `json:"burn"`
}

// Series returns the burn of an objective over the last six hours, oldest first.
func Series(now time.Time, o schema.Objective, nodes [][]Bucket) []Point {
	var out []Point
	for at := now.Add(-SlowLong.Length + plotStep); !at.After(now); at = at.Add(plotStep) {
		total, bad := sum(at, FastShort, o, nodes)
		out = append(out, Point{At: at, Burn: rate(total, bad, o.Quantile)})
	}
	return out
}

// WritePlot writes the burn of the objectives over the last six hours as an SVG, with the thresholds of
// both alerts as lines.
func WritePlot(w io.Writer, now time.Time, objectives []schema.Objective, nodes [][]Bucket) error {
	p := plot.New()
	p.Title.Text = "Error budget burn, five minute average"
	p.X.Label.Text = "hours before now"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, o := range objectives {
		if err := addLine(p, i, o.Account+" / "+o.Model, points(now, Series(now, o, nodes))); err != nil {
			return err
		}
	}
	for i, level := range []float64{fastThreshold, slowThreshold} {
		f := plotter.NewFunction(func(float64) float64 { return level })
		f.Dashes = plotutil.Dashes(i + 1)
		p.Add(f)
	}
	p.Y.Max = max(p.Y.Max, fastThreshold+1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	if _, err := canvas.WriteTo(w); err != nil {
		return errors.Newf("write burn plot: %w", err)
	}
	return nil
}

func points(now time.Time, series []Point) plotter.XYs {
	xys := make(plotter.XYs, len(series))
	for i, s := range series {
		xys[i] = plotter.XY{X: -now.Sub(s.At).Hours(), Y: s.Burn}
	}
	return xys
}

func addLine(p *plot.Plot, i int, name string, xys plotter.XYs) error {
	line, err := plotter.NewLine(xys)
	if err != nil {
		return errors.Newf("plot %s: %w", name, err)
	}
	line.Color = plotutil.Color(i)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
