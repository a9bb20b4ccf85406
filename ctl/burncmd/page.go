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

// pageData is what the template shows.
type pageData struct {
	Time            string
	Asked, Answered int
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
	// Fast marks a rate that uses up the budget too early.
	Fast bool
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
	data := pageData{Time: r.now.UTC().Format(time.DateTime + " UTC"), Asked: r.asked, Answered: r.answered}
	for _, window := range burn.Windows {
		data.Windows = append(data.Windows, burn.WindowName(window))
	}
	for _, row := range r.rows() {
		page, err := r.pageRow(row)
		if err != nil {
			return err
		}
		data.Alerts += len(row.Alerts)
		data.Rows = append(data.Rows, page)
	}
	return pageTemplate.Execute(out, data)
}

func (r report) pageRow(row burn.ObjectiveReport) (pageRow, error) {
	page := pageRow{
		Name: row.Objective.Name, Measure: measure(row), Subject: subject(row), Target: percent(row.Objective.Target),
		LastHour: lastHour(row), Severity: severity(row), Alerts: row.Alerts,
	}
	for _, w := range row.Windows {
		page.Windows = append(page.Windows, pageRate{Rate: w.Rate, Fast: w.Rate > 1})
	}
	if !hasEvents(row) {
		return page, nil
	}
	for _, v := range views {
		svg, err := v.draw(r.fleet, row.Objective, r.now)
		if err != nil {
			return pageRow{}, err
		}
		// The plot library escapes all text, and no text of a process is in a plot.
		page.Plots = append(page.Plots, pagePlot{Title: v.title, SVG: template.HTML(svg)})
	}
	return page, nil
}

// hasEvents looks at the longest window.
func hasEvents(row burn.ObjectiveReport) bool {
	longest := row.Windows[len(row.Windows)-1]
	return longest.Good+longest.Bad > 0
}
