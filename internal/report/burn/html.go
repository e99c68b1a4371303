package burn

import (
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed report.html
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent,
	"share":   Usage.share,
	"bars":    bars,
	"budget":  budgetWidth,
	"windows": Windows,
}).Parse(pageText))

// WriteHTML writes the report as an HTML page with plots. The page needs no other file
// and runs no script.
func (r *Report) WriteHTML(w io.Writer) error {
	return page.Execute(w, r)
}

// Size of a plot in the page, in pixels.
const (
	plotWidth  = 560
	plotHeight = 120
	// budgetBarWidth is the width of the bar for a full error budget.
	budgetBarWidth = 120
)

// bar is one column of a plot.
type bar struct {
	X, Y, Width, Height float64
	Label               string
}

// plot is a bar chart of the share of failures over time. Top is the share that the full
// height stands for.
type plot struct {
	Width, Height int
	Top           string
	Bars          []bar
}

// bars returns the plot of the share of failures over time. The full height stands for
// the highest share, or for 1% if that is higher, so that few failures do not look like
// many.
func bars(points []Point) plot {
	p := plot{Width: plotWidth, Height: plotHeight}
	maxShare := 0.01
	for _, point := range points {
		maxShare = max(maxShare, point.FailedShare())
	}
	p.Top = percent(maxShare)
	width := float64(plotWidth) / float64(max(len(points), 1))
	for i, point := range points {
		height := plotHeight * point.FailedShare() / maxShare
		p.Bars = append(p.Bars, bar{
			X: float64(i) * width, Y: plotHeight - height, Width: width - 1, Height: height,
			Label: fmt.Sprintf("%s: %d of %d failed", point.Start.Format(time.DateTime), point.Failed, point.Eligible),
		})
	}
	return p
}

// budgetWidth returns the width of the bar for the remaining share of an error budget.
func budgetWidth(remaining float64) float64 {
	return budgetBarWidth * min(max(remaining, 0), 1)
}
