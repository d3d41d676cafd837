package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// outputFlags are the flags of commands whose output format can be chosen.
type outputFlags struct {
	Output string `enum:"table,json" default:"table" help:"Form of the output: table or json."`
}

// print prints a value as JSON, or as the columns that table writes.
func (f outputFlags) print(out io.Writer, value any, table func(io.Writer)) error {
	if f.Output == outputJSON {
		return printJSON(out, value)
	}
	return printTable(out, table)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("printing JSON: %w", err)
	}
	return nil
}

// printTable aligns the tab-separated columns that table writes.
func printTable(out io.Writer, table func(io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing table: %w", err)
	}
	return nil
}
