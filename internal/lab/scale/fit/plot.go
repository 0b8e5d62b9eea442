package fit

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// unsafeInFileName matches runs of characters that are replaced in file names.
var unsafeInFileName = regexp.MustCompile(`[^A-Za-z0-9]+`)

// Plot identifies one plot: all readings of one unit along one dimension of a scenario.
type Plot struct {
	Scenario, Dimension, Unit string
}

// FileName returns the name of the plot's file.
func (p Plot) FileName() string {
	return unsafeInFileName.ReplaceAllString(p.Scenario+"-"+p.Dimension+"-"+p.Unit, "_") + ".svg"
}

// WritePlots plots the points and lines of all readings to SVG files in a folder and returns their paths.
func WritePlots(folder string, all []Series) (paths []string, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("create the folder of plots: %w", err)
	}
	var plots []Plot
	for _, s := range all {
		for _, axis := range s.Axes {
			p := Plot{Scenario: s.Scenario, Dimension: axis.Dimension.Name, Unit: s.Unit}
			if !slices.Contains(plots, p) {
				plots = append(plots, p)
			}
		}
	}
	for _, p := range plots {
		drawing, err := p.draw(all)
		if err != nil {
			return paths, err
		}
		path := filepath.Join(folder, p.FileName())
		if err := drawing.Save(plotWidth, plotHeight, path); err != nil {
			return paths, fmt.Errorf("write plot %s: %w", path, err)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// draw draws the readings that belong to the plot.
func (p Plot) draw(all []Series) (*plot.Plot, error) {
	drawing := plot.New()
	drawing.Title.Text = p.Scenario
	drawing.X.Label.Text, drawing.Y.Label.Text = p.Dimension, p.Unit
	drawing.X.Min = 0
	drawing.Legend.Top, drawing.Legend.Left = true, true
	color := 0
	for _, s := range all {
		if s.Scenario != p.Scenario || s.Unit != p.Unit {
			continue
		}
		for _, axis := range s.Axes {
			if axis.Dimension.Name != p.Dimension {
				continue
			}
			if err := addAxis(drawing, s.Part+" "+s.Name, axis, color); err != nil {
				return nil, fmt.Errorf("draw plot %s: %w", p.FileName(), err)
			}
			color++
		}
	}
	return drawing, nil
}

// addAxis draws the points of an axis, and its line if one was fitted.
func addAxis(drawing *plot.Plot, label string, axis Axis, color int) error {
	points := make(plotter.XYs, 0, len(axis.Points))
	for _, p := range axis.Points {
		points = append(points, plotter.XY{X: p.Size, Y: p.Value})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Color, scatter.Shape = plotutil.Color(color), plotutil.Shape(color)
	drawing.Add(scatter)
	drawing.Legend.Add(label, scatter)
	if axis.LineErr != nil {
		return nil
	}
	line, err := plotter.NewLine(plotter.XYs{
		{X: axis.Line.Smallest, Y: axis.Line.At(axis.Line.Smallest)},
		{X: axis.Line.Largest, Y: axis.Line.At(axis.Line.Largest)},
	})
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(color)
	drawing.Add(line)
	return nil
}
