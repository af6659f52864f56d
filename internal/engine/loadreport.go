package engine

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// maxLoadFigures bounds the figures that are read of one load report.
const maxLoadFigures = 64

// loadFigures reads the load figures that the router asked for, in its order; nil when there is no report. A figure
// that the report lacks is NaN: missing is not zero.
func (c *Client) loadFigures(report string) []float64 {
	if len(c.LoadReportFields) == 0 {
		return nil
	}
	byName := ParseLoadReport(report)
	if byName == nil {
		return nil
	}
	figures := make([]float64, len(c.LoadReportFields))
	for i, name := range c.LoadReportFields {
		value, ok := byName[name]
		if !ok {
			value = math.NaN()
		}
		figures[i] = value
	}
	return figures
}

// ParseLoadReport reads an ORCA load report as it stands in the endpoint-load-metrics header, in its TEXT and JSON
// forms (Envoy, "Open Request Cost Aggregation"). What is malformed or not finite is left out; the binary form
// gives nil.
func ParseLoadReport(report string) map[string]float64 {
	format, body, _ := strings.Cut(report, " ")
	switch format {
	case "TEXT":
		return parseTextReport(body)
	case "JSON":
		return parseJSONReport(body)
	default:
		return nil
	}
}

// loadFigureMap holds finite figures by name, up to maxLoadFigures.
type loadFigureMap map[string]float64

func (m loadFigureMap) add(name string, value float64) {
	if !math.IsNaN(value) && !math.IsInf(value, 0) && len(m) < maxLoadFigures {
		m[name] = value
	}
}

func parseTextReport(body string) loadFigureMap {
	figures := loadFigureMap{}
	for pair := range strings.SplitSeq(body, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if value, err := strconv.ParseFloat(strings.TrimSpace(number), 64); ok && err == nil {
			figures.add(strings.TrimSpace(name), value)
		}
	}
	return figures
}

func parseJSONReport(body string) loadFigureMap {
	var fields map[string]any
	if json.Unmarshal([]byte(body), &fields) != nil {
		return nil
	}
	figures := loadFigureMap{}
	for name, field := range fields {
		switch field := field.(type) {
		case float64:
			figures.add(name, field)
		case map[string]any: // named_metrics, request_cost, utilization
			for key, value := range field {
				if number, ok := value.(float64); ok {
					figures.add(name+"."+key, number)
				}
			}
		}
	}
	return figures
}
