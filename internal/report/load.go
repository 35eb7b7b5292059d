package report

import (
	"io"
	"sort"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Load is one log line in which a process reported its load.
type Load struct {
	Time     time.Time
	Process  string
	IsHolder bool
	Cores    float64
	// TimerDelay is how late the process's latest timer fired.
	TimerDelay time.Duration
	// DecisionShare is the fraction of time spent on decisions. LongestWait is the longest
	// time that an input waited to be processed, OldestJobAge the highest age of a job when
	// the holder first received it.
	DecisionShare             float64
	LongestWait, OldestJobAge time.Duration
	Connections               int64
	PendingCalls              int64
	// In and Out are thousands of bytes per second, by purpose.
	In, Out map[string]float64
}

// TotalRate returns the process's traffic in both directions, in thousands of bytes per second.
func (l *Load) TotalRate() float64 {
	sum := 0.0
	for _, rates := range []map[string]float64{l.In, l.Out} {
		for _, r := range rates {
			sum += r
		}
	}
	return sum
}

// Process summarizes the load of one process over all its lines.
type Process struct {
	Name  string
	Lines int
	// LinesAsHolder counts the lines that the process wrote as a holder.
	LinesAsHolder int
	// Means and maxima over the lines.
	MeanCores, MaxCores float64
	MeanRate, MaxRate   float64 // thousands of bytes per second
	MaxTimerDelay       time.Duration
	MaxDecisionShare    float64
	LongestWait         time.Duration
	OldestJobAge        time.Duration
	MaxConnections      int64
	MaxPendingCalls     int64
	// ByPurpose is the mean traffic in both directions by purpose, in thousands of bytes per
	// second.
	ByPurpose map[string]float64
}

// Processes summarizes the lines by process, the one with the most traffic first.
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
	if l.IsHolder {
		p.LinesAsHolder++
	}
	p.MeanCores += l.Cores
	p.MaxCores = max(p.MaxCores, l.Cores)
	p.MeanRate += l.TotalRate()
	p.MaxRate = max(p.MaxRate, l.TotalRate())
	p.MaxTimerDelay = max(p.MaxTimerDelay, l.TimerDelay)
	p.MaxDecisionShare = max(p.MaxDecisionShare, l.DecisionShare)
	p.LongestWait = max(p.LongestWait, l.LongestWait)
	p.OldestJobAge = max(p.OldestJobAge, l.OldestJobAge)
	p.MaxConnections = max(p.MaxConnections, l.Connections)
	p.MaxPendingCalls = max(p.MaxPendingCalls, l.PendingCalls)
	for _, rates := range []map[string]float64{l.In, l.Out} {
		for purpose, r := range rates {
			p.ByPurpose[purpose] += r
		}
	}
}

// Purposes returns the purposes of the process's traffic, the one with the most traffic first.
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

// PlotLoad draws as SVG the traffic of a process over time, by purpose. The error is ErrTooFewPoints if
// the process has fewer than two lines.
func PlotLoad(w io.Writer, lines []Load, process string, from time.Time) error {
	graph := chart.Chart{
		Title: process + ", thousands of bytes a second, both ways", Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "thousands of bytes a second"},
	}
	var processLines []Load
	for _, l := range lines {
		if l.Process == process {
			processLines = append(processLines, l)
		}
	}
	sort.Slice(processLines, func(a, b int) bool { return processLines[a].Time.Before(processLines[b].Time) })
	for _, p := range Processes(processLines) {
		for _, purpose := range p.Purposes() {
			s := chart.ContinuousSeries{Name: purpose}
			for _, l := range processLines {
				s.XValues = append(s.XValues, l.Time.Sub(from).Seconds())
				s.YValues = append(s.YValues, l.In[purpose]+l.Out[purpose])
			}
			graph.Series = append(graph.Series, s)
		}
	}
	if len(processLines) < 2 || len(graph.Series) == 0 {
		return ErrTooFewPoints
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return graph.Render(chart.SVG, w)
}
