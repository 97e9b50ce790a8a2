package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Markers that enclose the generated section of MEASUREMENTS.md.
const (
	beginMark = "<!-- bench: begin -->"
	endMark   = "<!-- bench: end -->"
)

// plotted is the scenario whose latencies are plotted.
const plotted = "overnight then urgent flood"

// Write writes the tables between the markers of the measurements page, which it creates
// if needed, and draws a latency plot for each rank.
func Write(dir string, seed uint64, results []Result) error {
	path := filepath.Join(dir, "MEASUREMENTS.md")
	page, err := os.ReadFile(path)
	if err != nil {
		page = []byte("# Measurements\n\n" + beginMark + "\n" + endMark + "\n")
	}
	before, rest, ok := strings.Cut(string(page), beginMark)
	_, behind, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		before, behind = strings.TrimRight(string(page), "\n")+"\n\n", "\n"
	}
	text := fmt.Sprintf("%s%s\n%s%s\n%s%s", before, beginMark, intro(seed), Table(results), endMark, behind)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write measurements: %w", err)
	}
	for r := range fleet.Rank(fleet.RankCount) {
		if err := draw(dir, r, results); err != nil {
			return fmt.Errorf("draw latency plot of rank %s: %w", r, err)
		}
	}
	return nil
}

func intro(seed uint64) string {
	return fmt.Sprintf(`## Policies against baselines

Printed by `+"`make bench SEED=%d`"+`: virtual time, real decision code, fake engines
(3 data centres, 4 entry VMs, 40 engines, 10 teams of which 3 are large). The
bound is the cost per second of engines and links with all batch slots in use and
each generation where it adds the least time. Each baseline
replaces one part: FIFO and strict priority the service order, round robin and
least loaded the picker. The event lasts from second 60 to 180, the time after it
is scaled to 600 s; dawn is at second 900. "failed" counts requests that ended
without their whole answer after they began. "small/large" is the least urgent
service of a small team over the most of a large one, by weight.

![urgent](latency-urgent.svg) ![lookup](latency-lookup.svg) ![overnight](latency-overnight.svg)
`, seed)
}

// draw plots percentiles of the time to the first token of a rank, one line for each
// policy. It writes no file if no result has data for the plot.
func draw(dir string, r fleet.Rank, results []Result) error {
	p := plot.New()
	p.Title.Text = r.String() + ": " + plotted
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "seconds to the first token"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	n := 0
	for _, res := range results {
		if res.scenario != plotted || res.deployment != deployments()[0].name {
			continue
		}
		h := res.m.windows[during].firstTokenMicros[r]
		if h.TotalCount() == 0 {
			continue
		}
		var points plotter.XYs
		for q := 1.0; q < 100; q++ {
			points = append(points, plotter.XY{X: q, Y: float64(max(h.ValueAtQuantile(q), 1)) / 1e6})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(n), plotutil.Dashes(n)
		p.Add(line)
		p.Legend.Add(res.policy, line)
		n++
	}
	if n == 0 {
		return nil
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, "latency-"+r.String()+".svg"))
}
