package report

import (
	"errors"
	"io"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Size of a plot in pixels, its time interval, and the quantile that it shows.
const (
	plotWidth    = 900
	plotHeight   = 420
	plotInterval = 2 * time.Second
	plotQuantile = 0.95
)

// ErrTooFewPoints is returned if a plot would have no curve of at least two points.
var ErrTooFewPoints = errors.New("too few jobs have ended for a curve")

// Plot draws as SVG the time until jobs ended, by queue, over time. The error is ErrTooFewPoints if no
// queue has ended jobs in two intervals.
func Plot(w io.Writer, queues []*Queue, from time.Time) error {
	graph := chart.Chart{
		Title: "Seconds until a job has ended, 95 of 100", Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "seconds"},
	}
	for _, q := range queues {
		var x, y []float64
		for _, p := range q.TimeSeries(Ended, plotQuantile, from, plotInterval) {
			x, y = append(x, p.Offset.Seconds()), append(y, p.Took.Seconds())
		}
		if len(x) > 1 {
			graph.Series = append(graph.Series, chart.ContinuousSeries{Name: q.Name, XValues: x, YValues: y})
		}
	}
	if len(graph.Series) == 0 {
		return ErrTooFewPoints
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return graph.Render(chart.SVG, w)
}
