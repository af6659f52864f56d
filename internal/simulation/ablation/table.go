package ablation

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Write prints the results as a table with a column for each number of replicas.
func Write(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	var rows strings.Builder
	row := func(name string, cell func(r *Result) string) {
		rows.WriteString(name + "\t")
		for i := range results {
			rows.WriteString(cell(&results[i]) + "\t")
		}
		rows.WriteString("\n")
	}
	row("fronts", func(r *Result) string { return fmt.Sprint(r.Replicas) })
	row("as it is", func(r *Result) string { return fmt.Sprintf("%.4f", r.NoOracles) })
	for _, c := range Causes {
		row("without "+c.Name, func(r *Result) string { return r.Alone[c.Name].String() })
	}
	row("without any", func(r *Result) string { return fmt.Sprintf("%.4f", r.AllOracles) })
	for _, c := range Causes {
		row("only "+c.Name, func(r *Result) string {
			g := r.AddedLast[c.Name]
			// The gain is negated, since the row shows by how much service changes when this is the only cause.
			return Gain{-g.Mean, -g.High, -g.Low}.String()
		})
	}
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}

func (g Gain) String() string { return fmt.Sprintf("%+.4f (%+.3f to %+.3f)", g.Mean, g.Low, g.High) }
