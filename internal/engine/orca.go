package engine

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// report reads the load figures that the module asked for, in its order; nil when the answer has none.
func (c *Client) report(text string) []float64 {
	if len(c.LoadReportFields) == 0 {
		return nil
	}
	figures := ParseLoadReport(text)
	if figures == nil {
		return nil
	}
	out := make([]float64, len(c.LoadReportFields))
	for i, name := range c.LoadReportFields {
		v, ok := figures[name]
		if !ok {
			v = math.NaN() // missing is not zero
		}
		out[i] = v
	}
	return out
}

// ParseLoadReport reads an ORCA load report as it stands in the endpoint-load-metrics header, in its TEXT and JSON
// forms (Envoy, "Open Request Cost Aggregation"). What is malformed or not finite is left out; the binary form
// gives nil.
func ParseLoadReport(v string) map[string]float64 {
	form, rest, _ := strings.Cut(v, " ")
	out := map[string]float64{}
	put := func(name string, f float64) {
		if !math.IsNaN(f) && !math.IsInf(f, 0) && len(out) < 64 {
			out[name] = f
		}
	}
	switch form {
	case "TEXT":
		for part := range strings.SplitSeq(rest, ",") {
			name, num, ok := strings.Cut(strings.TrimSpace(part), "=")
			if f, err := strconv.ParseFloat(strings.TrimSpace(num), 64); ok && err == nil {
				put(strings.TrimSpace(name), f)
			}
		}
	case "JSON":
		var m map[string]any
		if json.Unmarshal([]byte(rest), &m) != nil {
			return nil
		}
		for name, e := range m {
			switch e := e.(type) {
			case float64:
				put(name, e)
			case map[string]any: // named_metrics, request_cost, utilization
				for sub, f := range e {
					if f, ok := f.(float64); ok {
						put(name+"."+sub, f)
					}
				}
			}
		}
	default:
		return nil
	}
	return out
}
