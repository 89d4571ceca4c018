package main

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // writes SVG files

	"topazshed/internal/sim"
)

// plotGrowth draws what one varied size costs the roles, on logarithmic axes where no size is 0, and gives the file's name.
func plotGrowth(folder, vary string, results []sim.Hollow) (string, error) {
	p := plot.New()
	p.Title.Text = "control bytes a second of a node, quiet, in and out"
	p.X.Label.Text, p.Y.Label.Text = vary, "bytes/s"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	if !slices.ContainsFunc(results, func(r sim.Hollow) bool { return sizeOf(vary, r.Options) == 0 }) {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, role := range []string{"leader", "voter", "reader"} {
		var points plotter.XYs
		for _, r := range results {
			for _, cost := range r.Roles {
				if cost.Role == role {
					points = append(points, plotter.XY{X: float64(sizeOf(vary, r.Options)), Y: cost.Quiet.BytesIn + cost.Quiet.BytesOut})
				}
			}
		}
		lines = append(lines, role, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return "", fmt.Errorf("plot %s: %w", vary, err)
	}
	name := filepath.Join(folder, "capacity-"+vary+".svg")
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, name); err != nil {
		return "", fmt.Errorf("write %s: %w", name, err)
	}
	return name, nil
}
