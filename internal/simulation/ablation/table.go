package ablation

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Write prints a table for people.
func Write(w io.Writer, sizes []Size) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	var rows strings.Builder
	row := func(name string, cell func(s *Size) string) {
		rows.WriteString(name + "\t")
		for i := range sizes {
			rows.WriteString(cell(&sizes[i]) + "\t")
		}
		rows.WriteString("\n")
	}
	row("fronts", func(s *Size) string { return fmt.Sprint(s.Replicas) })
	row("as it is", func(s *Size) string { return fmt.Sprintf("%.4f", s.AsIs) })
	for _, c := range All {
		row("without "+c.Name, func(s *Size) string { return s.Alone[c.Name].String() })
	}
	row("without any", func(s *Size) string { return fmt.Sprintf("%.4f", s.AllOracles) })
	for _, c := range All {
		row("only "+c.Name, func(s *Size) string {
			g := s.Last[c.Name]
			return Gain{-g.Mean, -g.High, -g.Low}.String()
		})
	}
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}

func (g Gain) String() string { return fmt.Sprintf("%+.4f (%+.3f to %+.3f)", g.Mean, g.Low, g.High) }
