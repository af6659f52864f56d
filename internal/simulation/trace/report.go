package trace

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText prints the parameters as elements of a scenario file, followed by a table of how well they fit.
func (f *FitResult) WriteText(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "<day rate=\"%.1f/s\" ...>\n", f.Rate); err != nil {
		return err
	}
	for _, c := range f.Classes {
		if _, err := fmt.Fprintf(out, "  %s\n", c.element()); err != nil {
			return err
		}
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	header := "\nHOW WELL IT FITS\tREQUESTS\tSHARED TEXTS (SYNTHETIC 5)\tPROMPTS OFF BY\tANSWERS OFF BY"
	if _, err := fmt.Fprintln(w, header); err != nil {
		return err
	}
	for _, c := range f.Classes {
		_, err := fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\n",
			c.Name, c.Requests, c.SharedPrefixes, c.PromptDistance, c.AnswerDistance)
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "bursts: variance over mean of requests a second %.2f "+
		"(synthetic 1 or a little over, by its turns)\n", f.DispersionIndex)
	if err != nil {
		return err
	}
	return w.Flush()
}

// element returns the parameters of the class as an element of a scenario file.
func (c *ClassFit) element() string {
	return fmt.Sprintf("<class name=%q share=\"%.4f\" turns=\"%.2f\" prompt=\"%.0ftokens\" "+
		"beginning=\"%.0ftokens\" beginning-share=\"%.2f\" answer=\"%.0ftokens\" not-streamed-part=\"%.2f\" .../>",
		c.Name, c.Share, c.Turns, c.PromptTokens, c.PrefixTokens, c.PrefixShare, c.AnswerTokens, c.NotStreamedFraction)
}
