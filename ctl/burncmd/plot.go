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

// view is one plot of an objective: the burn rate over a window during a span.
type view struct {
	title  string
	window time.Duration
	span   time.Duration
	// limit is the rate of the rule that the window belongs to.
	limit float64
	// step is the distance of the marks on the time axis, unit its unit.
	step, unit time.Duration
	unitName   string
}

var views = []view{
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
func (v view) draw(fleet *burn.Aggregate, objective config.Objective, now time.Time) (string, error) {
	points := fleet.History(objective, now, v.window, v.span)
	line, err := plotter.NewLine(v.xys(points, now))
	if err != nil {
		return "", err
	}
	line.Color = lineColor
	line.Width = vg.Points(1.5)
	p := plot.New()
	v.scale(p, points)
	p.Add(grid(), line, v.limitLine(p.X.Min, p.X.Max))
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return element(out.Bytes()), nil
}

func (v view) xys(points []burn.Point, now time.Time) plotter.XYs {
	xys := make(plotter.XYs, len(points))
	for i, p := range points {
		xys[i] = plotter.XY{X: v.x(p.Time, now), Y: p.Rate}
	}
	return xys
}

func (v view) x(at, now time.Time) float64 {
	return float64(at.Sub(now)) / float64(v.unit)
}

// scale fixes the axes, so that quiet objectives do not look alarming and the limit is always seen.
func (v view) scale(p *plot.Plot, points []burn.Point) {
	top := v.limit
	for _, point := range points {
		top = math.Max(top, point.Rate)
	}
	p.X.Min = -float64(v.span) / float64(v.unit)
	p.X.Max = 0
	p.Y.Min = 0
	p.Y.Max = 1.15 * top
	p.X.Label.Text = v.unitName
	p.Y.Label.Text = "burn rate"
	p.X.Tick.Marker = plot.ConstantTicks(v.ticks())
	p.BackgroundColor = color.Transparent
	for _, axis := range []*plot.Axis{&p.X, &p.Y} {
		axis.Label.TextStyle.Font.Variant = "Sans"
		axis.Tick.Label.Font.Variant = "Sans"
	}
}

func (v view) ticks() []plot.Tick {
	var ticks []plot.Tick
	for at := time.Duration(0); at <= v.span; at += v.step {
		value := float64(at) / float64(v.unit)
		ticks = append(ticks, plot.Tick{Value: -value, Label: strconv.FormatFloat(value, 'f', -1, 64)})
	}
	return ticks
}

func (v view) limitLine(from, to float64) *plotter.Line {
	return &plotter.Line{
		XYs: plotter.XYs{{X: from, Y: v.limit}, {X: to, Y: v.limit}},
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

// element drops the XML prologue, which HTML does not allow inside a page.
func element(svg []byte) string {
	return string(svg[bytes.Index(svg, []byte("<svg")):])
}
