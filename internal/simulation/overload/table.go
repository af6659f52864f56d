package overload

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Write prints the points as a table.
func Write(w io.Writer, points []Point) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	header := "LOOP\tLOAD\tGOODPUT BEFORE\tOVERLOADED\tWORST 2 S\tBACK AFTER\tNEVER\tTRIES\tATTEMPTS PER SERVED"
	if _, err := fmt.Fprintln(table, header); err != nil {
		return err
	}
	for _, p := range points {
		_, err := fmt.Fprintf(table, "%s\t%g\t%.0f\t%.0f\t%.0f\t%.1f s\t%d\t%.2f\t%.1f\n",
			p.DisabledLoop, p.Load, p.GoodputBefore, p.Goodput, p.WorstGoodput, p.RecoverySeconds, p.NotRecovered,
			p.ClientAttempts, p.EngineAttempts)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}
