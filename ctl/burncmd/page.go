package burncmd

import (
	_ "embed"
	"html/template"
	"io"
	"os"
	"time"

	"github.com/sapphirefield/sapphirefield/burn"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageData is the data of the HTML template.
type pageData struct {
	Time            string
	Total, Answered int
	Windows         []string
	Rows            []pageRow
	Alerts          int
}

type pageRow struct {
	Name, Measure, Subject, Target, LastHour, Severity string
	Windows                                            []pageRate
	Alerts                                             []burn.AlertReport
	Plots                                              []pagePlot
}

type pageRate struct {
	Rate float64
	// ExceedsBudget is set if the budget would not last the budget period.
	ExceedsBudget bool
}

type pagePlot struct {
	Title string
	SVG   template.HTML
}

func (r report) writeHTMLFile(name string) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := r.writeHTML(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func (r report) writeHTML(out io.Writer) error {
	data := pageData{Time: r.now.UTC().Format(time.DateTime + " UTC"), Total: r.total, Answered: r.answered}
	for _, window := range burn.Windows {
		data.Windows = append(data.Windows, burn.WindowName(window))
	}
	for _, row := range r.rows() {
		htmlRow, err := r.pageRow(row)
		if err != nil {
			return err
		}
		data.Alerts += len(row.Alerts)
		data.Rows = append(data.Rows, htmlRow)
	}
	return pageTemplate.Execute(out, data)
}

func (r report) pageRow(row burn.ObjectiveReport) (pageRow, error) {
	htmlRow := pageRow{
		Name: row.Objective.Name, Measure: measure(row), Subject: subject(row), Target: percent(row.Objective.Target),
		LastHour: lastHour(row), Severity: severity(row), Alerts: row.Alerts,
	}
	for _, w := range row.Windows {
		htmlRow.Windows = append(htmlRow.Windows, pageRate{Rate: w.Rate, ExceedsBudget: w.Rate > 1})
	}
	if !hasEvents(row) {
		return htmlRow, nil
	}
	for _, spec := range plotSpecs {
		svg, err := spec.draw(r.counts, row.Objective, r.now)
		if err != nil {
			return pageRow{}, err
		}
		// The plot library escapes all text, and the plots contain no text that was
		// received from a process.
		htmlRow.Plots = append(htmlRow.Plots, pagePlot{Title: spec.title, SVG: template.HTML(svg)})
	}
	return htmlRow, nil
}

// hasEvents reports whether the longest window contains any event.
func hasEvents(row burn.ObjectiveReport) bool {
	longest := row.Windows[len(row.Windows)-1]
	return longest.Good+longest.Bad > 0
}
