package load

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlot draws the goodput of several runs over time. The extension of path
// selects the format: .png or .svg.
func WritePlot(path string, reports []*Report) error {
	p := plot.New()
	p.Title.Text = "Goodput by scheduled send time"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "good requests per second"
	p.Legend.Top = true
	for i, report := range reports {
		points := make(plotter.XYs, len(report.Windows))
		for j, goodput := range report.Windows {
			points[j].X = float64(j) * windowLength.Seconds()
			points[j].Y = goodput
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(report.System, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
