package report

import (
	"errors"
	"io"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Size of a plot, in pixels, and what it shows.
const (
	plotWidth  = 900
	plotHeight = 420
	plotSpan   = 2 * time.Second
	plotted    = 0.95 // quantile
)

// ErrNothing: no two spans of time have an ended job, so that there is no curve.
var ErrNothing = errors.New("too few jobs have ended for a curve")

// Plot draws as SVG how long the jobs of each queue took until they ended, over time.
func Plot(w io.Writer, queues []*Queue, from time.Time) error {
	graph := chart.Chart{
		Title: "Seconds until a job has ended, 95 of 100", Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "seconds"},
	}
	for _, q := range queues {
		var x, y []float64
		for _, p := range q.Curve(Ended, plotted, from, plotSpan) {
			x, y = append(x, p.Since.Seconds()), append(y, p.Took.Seconds())
		}
		if len(x) > 1 {
			graph.Series = append(graph.Series, chart.ContinuousSeries{Name: q.Name, XValues: x, YValues: y})
		}
	}
	if len(graph.Series) == 0 {
		return ErrNothing
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return graph.Render(chart.SVG, w)
}
