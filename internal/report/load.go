package report

import (
	"io"
	"sort"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Load is one line in which a process has told what it was busy with.
type Load struct {
	Time    time.Time
	Process string
	Holds   bool
	Cores   float64
	// Late is by how much its latest timer was late.
	Late time.Duration
	// Deciding is the share of its time that decisions took; LongestWait and OldestJob
	// are how long something waited to be taken in, and how old a job was when known.
	Deciding               float64
	LongestWait, OldestJob time.Duration
	Connections            int64
	CallsUnderWay          int64
	// In and Out are thousands of bytes a second, by purpose.
	In, Out map[string]float64
}

// Total is what crosses the process's link, both ways, in thousands of bytes a second.
func (l *Load) Total() float64 {
	sum := 0.0
	for _, rates := range []map[string]float64{l.In, l.Out} {
		for _, r := range rates {
			sum += r
		}
	}
	return sum
}

// Process is what one process was busy with over all its lines.
type Process struct {
	Name  string
	Lines int
	// Held counts the lines as a holder.
	Held int
	// The means and the highest of its lines.
	MeanCores, MostCores float64
	MeanRate, MostRate   float64 // thousands of bytes a second
	MostLate             time.Duration
	MostDeciding         float64
	LongestWait          time.Duration
	OldestJob            time.Duration
	MostConnections      int64
	MostCallsUnderWay    int64
	// ByPurpose are the means of the bytes, both ways together.
	ByPurpose map[string]float64
}

// Processes sums the lines up by process, the one with the most bytes first.
func Processes(lines []Load) []*Process {
	all := map[string]*Process{}
	for i := range lines {
		l := &lines[i]
		p := all[l.Process]
		if p == nil {
			p = &Process{Name: l.Process, ByPurpose: map[string]float64{}}
			all[l.Process] = p
		}
		p.add(l)
	}
	out := make([]*Process, 0, len(all))
	for _, p := range all {
		p.MeanCores /= float64(p.Lines)
		p.MeanRate /= float64(p.Lines)
		for purpose := range p.ByPurpose {
			p.ByPurpose[purpose] /= float64(p.Lines)
		}
		out = append(out, p)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].MeanRate != out[b].MeanRate {
			return out[a].MeanRate > out[b].MeanRate
		}
		return out[a].Name < out[b].Name
	})
	return out
}

func (p *Process) add(l *Load) {
	p.Lines++
	if l.Holds {
		p.Held++
	}
	p.MeanCores += l.Cores
	p.MostCores = max(p.MostCores, l.Cores)
	p.MeanRate += l.Total()
	p.MostRate = max(p.MostRate, l.Total())
	p.MostLate = max(p.MostLate, l.Late)
	p.MostDeciding = max(p.MostDeciding, l.Deciding)
	p.LongestWait = max(p.LongestWait, l.LongestWait)
	p.OldestJob = max(p.OldestJob, l.OldestJob)
	p.MostConnections = max(p.MostConnections, l.Connections)
	p.MostCallsUnderWay = max(p.MostCallsUnderWay, l.CallsUnderWay)
	for _, rates := range []map[string]float64{l.In, l.Out} {
		for purpose, r := range rates {
			p.ByPurpose[purpose] += r
		}
	}
}

// Purposes are those of the process, the one with the most bytes first.
func (p *Process) Purposes() []string {
	out := make([]string, 0, len(p.ByPurpose))
	for purpose := range p.ByPurpose {
		out = append(out, purpose)
	}
	sort.Slice(out, func(a, b int) bool {
		if p.ByPurpose[out[a]] != p.ByPurpose[out[b]] {
			return p.ByPurpose[out[a]] > p.ByPurpose[out[b]]
		}
		return out[a] < out[b]
	})
	return out
}

// PlotLoad draws as SVG what crossed the link of a process over time, by purpose.
func PlotLoad(w io.Writer, lines []Load, process string, from time.Time) error {
	graph := chart.Chart{
		Title: process + ", thousands of bytes a second, both ways", Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "thousands of bytes a second"},
	}
	var own []Load
	for _, l := range lines {
		if l.Process == process {
			own = append(own, l)
		}
	}
	sort.Slice(own, func(a, b int) bool { return own[a].Time.Before(own[b].Time) })
	for _, p := range Processes(own) {
		for _, purpose := range p.Purposes() {
			s := chart.ContinuousSeries{Name: purpose}
			for _, l := range own {
				s.XValues = append(s.XValues, l.Time.Sub(from).Seconds())
				s.YValues = append(s.YValues, l.In[purpose]+l.Out[purpose])
			}
			graph.Series = append(graph.Series, s)
		}
	}
	if len(own) < 2 || len(graph.Series) == 0 {
		return ErrNothing
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return graph.Render(chart.SVG, w)
}
