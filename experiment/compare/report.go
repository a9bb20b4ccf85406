package compare

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth, plotHeight = 4 * vg.Inch, 3 * vg.Inch
	boxWidth              = vg.Inch / 2
)

// writeTable writes the verdict on each figure.
func writeTable(w io.Writer, figures []Figure, r Result) {
	fmt.Fprintf(w, "%.12s against %.12s, %d pairs; differences are second minus first, with 95%% intervals\n", r.Commits[0], r.Commits[1], len(r.Pairs))
	fmt.Fprintf(w, "%-20s %6s %10s %23s %15s  %s\n", "figure", "pairs", "mean", "interval", "pairs for 0.01", "verdict")
	for _, f := range figures {
		d := r.Figures[f.Name]
		fmt.Fprintf(w, "%-20s %6d %+10.4f  [%+9.4f, %+9.4f] %15d  %s\n", f.Name, d.Pairs, d.Mean, d.Low, d.High, d.PairsForResolution, d.Verdict)
	}
}

// drawPlots writes a plot of the distributions of each figure on both commits.
func drawPlots(dir string, figures []Figure, r Result) error {
	for _, f := range figures {
		var first, second plotter.Values
		for _, p := range r.Pairs {
			if a, b, known := p.values(f); known {
				first, second = append(first, a), append(second, b)
			}
		}
		if len(first) == 0 {
			continue
		}
		if err := drawBoxes(filepath.Join(dir, f.Name+".svg"), f.Name, r.Commits, first, second); err != nil {
			return errors.Wrapf(err, "plot of %q", f.Name)
		}
	}
	return nil
}

func drawBoxes(file, title string, commits [2]string, values ...plotter.Values) error {
	p := plot.New()
	p.Title.Text = title
	for i, v := range values {
		box, err := plotter.NewBoxPlot(boxWidth, float64(i), v)
		if err != nil {
			return err
		}
		p.Add(box)
	}
	p.NominalX(commits[0][:min(12, len(commits[0]))], commits[1][:min(12, len(commits[1]))])
	return p.Save(plotWidth, plotHeight, file)
}
