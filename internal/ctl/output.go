package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/juju/errors"
)

func (e *env) printJSON(v any) error {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(v))
}

// printTable prints rows in columns; the first row is the header.
func (e *env) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Trace(w.Flush())
}

func formatShape(s api.Shape) string {
	text := fmt.Sprintf("%d x %d acc", s.Tasks, s.PerTask.Accelerators)
	if s.Adjacency != "" {
		text += " in one " + string(s.Adjacency)
	}
	return text
}

func formatGuarantee(g *api.Guarantee) string {
	if g == nil {
		return "-"
	}
	return fmt.Sprintf("%d x (%s)", g.Gangs, formatShape(g.Shape))
}

func numberOrDash[T ~int | ~uint64](n T) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
