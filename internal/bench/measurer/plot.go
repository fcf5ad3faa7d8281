package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotTradeOff plots the tail latency over the completed work, one point per run.
func plotTradeOff(path, user string, outcomes []outcome) error {
	p := plot.New()
	p.Title.Text = user + ": work and tail latency, one point per seed"
	p.X.Label.Text = "work done (core-hours)"
	p.Y.Label.Text = "p99 / objective"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, v := range variants() {
		var points plotter.XYs
		for _, o := range outcomes {
			if o.user == user && o.variant == v.name {
				points = append(points, plotter.XY{X: o.tally.work / 3600, Y: o.tally.p99()})
			}
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", v.name, err)
		}
		s.Color, s.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(s)
		p.Legend.Add(v.name, s)
	}
	if err := p.Save(16*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
