package chart

import (
	"fmt"
	"io/fs"
	"strings"
)

// Mermaid renders the chart as a Mermaid state diagram. Transitions between the
// same two states share one arrow, because parallel arrows cover each other's labels.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.initial)
	for _, arrow := range c.arrows() {
		fmt.Fprintf(&b, "    %s --> %s: %s\n", arrow.from, arrow.to, strings.Join(arrow.events, ", "))
	}
	for _, s := range c.states {
		if s.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s.Name)
		}
	}
	return b.String()
}

// arrow groups the transitions between the same two states.
type arrow struct {
	from, to State
	events   []string
}

func (c *Chart) arrows() []arrow {
	type endpoints struct{ from, to State }
	index := map[endpoints]int{}
	var arrows []arrow
	for _, t := range c.transitions {
		key := endpoints{t.From, t.To}
		i, known := index[key]
		if !known {
			i = len(arrows)
			index[key] = i
			arrows = append(arrows, arrow{from: t.From, to: t.To})
		}
		arrows[i].events = append(arrows[i].events, string(t.Event))
	}
	return arrows
}

// Markdown renders the chart as a Markdown section with a diagram and tables of
// the states and events.
func (c *Chart) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n", c.name, strings.TrimSpace(c.description))
	if c.interpretedBy != "" {
		fmt.Fprintf(&b, "Package `%s` takes its transitions from this chart.\n\n", c.interpretedBy)
	} else {
		b.WriteString("This chart describes the behaviour; no package takes its transitions from it yet.\n\n")
	}
	fmt.Fprintf(&b, "```mermaid\n%s```\n\n", c.Mermaid())
	b.WriteString("| state | meaning |\n| --- | --- |\n")
	for _, s := range c.states {
		description := s.Description
		if s.Final {
			description += " (final)"
		}
		fmt.Fprintf(&b, "| %s | %s |\n", s.Name, description)
	}
	b.WriteString("\n| event | meaning |\n| --- | --- |\n")
	for _, e := range c.events {
		fmt.Fprintf(&b, "| %s | %s |\n", e.Name, e.Description)
	}
	return b.String()
}

// MarkdownPage renders all charts in files as one Markdown page for the documentation.
func MarkdownPage(files fs.FS) (string, error) {
	names, err := Names(files)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("# State charts\n\nThis page is generated from `chart/charts/*.yaml` by `sapphirectl charts -format markdown`; a test holds it equal\n" +
		"to the files. Each section says whether a package interprets the file, so that the diagram is what the code does.\n")
	for _, name := range names {
		c, err := Load(files, name)
		if err != nil {
			return "", err
		}
		b.WriteString("\n" + c.Markdown())
	}
	return b.String(), nil
}
