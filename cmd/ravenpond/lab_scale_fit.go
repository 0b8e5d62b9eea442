package main

import (
	"errors"
	"fmt"
	"os"

	"ravenpond/internal/lab/scale/fit"
)

// scaleFitCommand fits lines and models to the results of scale runs.
type scaleFitCommand struct {
	Folder string             `arg:"" type:"existingdir" help:"Folder of result files."`
	At     map[string]float64 `help:"Sizes to predict, such as nodes=20000;schedulers=100."`
	Plots  string             `type:"path" help:"Write plots to this folder, one for each scenario, dimension and unit; default: no plots."`
}

// errNoResults reports that a folder has no result files.
var errNoResults = errors.New("no result files")

// Run prints the fits as Markdown tables and writes the plots if a folder was given.
func (c *scaleFitCommand) Run() error {
	for name := range c.At {
		if _, err := fit.DimensionNamed(name); err != nil {
			return err
		}
	}
	results, err := fit.ReadDir(c.Folder)
	if err != nil {
		return err
	}
	if len(results) == 0 {
		return fmt.Errorf("%s: %w", c.Folder, errNoResults)
	}
	all := fit.All(results)
	if err := fit.WriteMarkdown(os.Stdout, all, c.At); err != nil {
		return err
	}
	if c.Plots == "" {
		return nil
	}
	_, err = fit.WritePlots(c.Plots, all)
	return err
}
