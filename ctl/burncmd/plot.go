package burncmd

import (
	"bytes"
	"image/color"
	"math"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/config"
)

// plotSpec describes one plot of an objective: the burn rate over a window, as a
// function of time during a span.
type plotSpec struct {
	title  string
	window time.Duration
	span   time.Duration
	// limit is the burn-rate limit of the alert rule with this short window.
	limit float64
	// tickInterval is the interval between ticks on the time axis, which is labeled
	// in multiples of unit.
	tickInterval, unit time.Duration
	unitName           string
}

var plotSpecs = []plotSpec{
	{"Last 6 hours, window 30 minutes", burn.Window30m, burn.Window6h, 6, time.Hour, time.Hour, "hours before the report"},
	{"Last 3 days, window 6 hours", burn.Window6h, burn.Window3d, 1, 12 * time.Hour, time.Hour, "hours before the report"},
}

const (
	plotWidth  = 430 * vg.Inch / 72
	plotHeight = 190 * vg.Inch / 72
)

var (
	lineColor  = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	limitColor = color.RGBA{R: 0xb4, G: 0x23, B: 0x18, A: 0xff}
	gridColor  = color.RGBA{R: 0xd0, G: 0xd5, B: 0xdb, A: 0xff}
)

// draw returns the plot as an SVG element for an HTML page.
func (s plotSpec) draw(counts *burn.Aggregate, objective config.Objective, now time.Time) (string, error) {
	points := counts.History(objective, now, s.window, s.span)
	line, err := plotter.NewLine(s.toXYs(points, now))
	if err != nil {
		return "", err
	}
	line.Color = lineColor
	line.Width = vg.Points(1.5)
	p := plot.New()
	s.setAxes(p, points)
	p.Add(grid(), line, s.limitLine(p.X.Min, p.X.Max))
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return stripProlog(out.Bytes()), nil
}

func (s plotSpec) toXYs(points []burn.Point, now time.Time) plotter.XYs {
	xys := make(plotter.XYs, len(points))
	for i, p := range points {
		xys[i] = plotter.XY{X: s.xValue(p.Time, now), Y: p.Rate}
	}
	return xys
}

func (s plotSpec) xValue(at, now time.Time) float64 {
	return float64(at.Sub(now)) / float64(s.unit)
}

// setAxes sets fixed ranges for the axes, so that low burn rates are not magnified
// and the limit is always visible.
func (s plotSpec) setAxes(p *plot.Plot, points []burn.Point) {
	top := s.limit
	for _, point := range points {
		top = math.Max(top, point.Rate)
	}
	p.X.Min = -float64(s.span) / float64(s.unit)
	p.X.Max = 0
	p.Y.Min = 0
	p.Y.Max = 1.15 * top
	p.X.Label.Text = s.unitName
	p.Y.Label.Text = "burn rate"
	p.X.Tick.Marker = plot.ConstantTicks(s.ticks())
	p.BackgroundColor = color.Transparent
	for _, axis := range []*plot.Axis{&p.X, &p.Y} {
		axis.Label.TextStyle.Font.Variant = "Sans"
		axis.Tick.Label.Font.Variant = "Sans"
	}
}

func (s plotSpec) ticks() []plot.Tick {
	var ticks []plot.Tick
	for at := time.Duration(0); at <= s.span; at += s.tickInterval {
		value := float64(at) / float64(s.unit)
		ticks = append(ticks, plot.Tick{Value: -value, Label: strconv.FormatFloat(value, 'f', -1, 64)})
	}
	return ticks
}

func (s plotSpec) limitLine(from, to float64) *plotter.Line {
	return &plotter.Line{
		XYs: plotter.XYs{{X: from, Y: s.limit}, {X: to, Y: s.limit}},
		LineStyle: draw.LineStyle{
			Color: limitColor, Width: vg.Points(1), Dashes: []vg.Length{vg.Points(4), vg.Points(3)},
		},
	}
}

func grid() *plotter.Grid {
	g := plotter.NewGrid()
	g.Vertical.Color = gridColor
	g.Horizontal.Color = gridColor
	return g
}

// stripProlog removes the XML prolog, which is not allowed inside an HTML page.
func stripProlog(svg []byte) string {
	return string(svg[bytes.Index(svg, []byte("<svg")):])
}
