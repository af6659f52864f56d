package engine

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// maxLoadMetrics is the maximum number of metrics that are read from one load report.
const maxLoadMetrics = 64

// loadMetrics reads the metrics named in LoadReportFields from a load report, in that order. It returns nil if no
// metrics are named or ParseLoadReport returns nil. A metric that is missing from the report is NaN, since zero would
// be a valid value.
func (c *Client) loadMetrics(report string) []float64 {
	if len(c.LoadReportFields) == 0 {
		return nil
	}
	byName := ParseLoadReport(report)
	if byName == nil {
		return nil
	}
	metrics := make([]float64, len(c.LoadReportFields))
	for i, name := range c.LoadReportFields {
		value, ok := byName[name]
		if !ok {
			value = math.NaN()
		}
		metrics[i] = value
	}
	return metrics
}

// ParseLoadReport parses an ORCA load report (Envoy, "Open Request Cost Aggregation") from the value of the
// endpoint-load-metrics header, in its TEXT or JSON format. Metrics that are malformed or not finite are left out. It
// returns nil for malformed JSON and for any other format, such as the binary one.
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

// loadMetricMap holds up to maxLoadMetrics finite metrics by name.
type loadMetricMap map[string]float64

func (m loadMetricMap) add(name string, value float64) {
	if !math.IsNaN(value) && !math.IsInf(value, 0) && len(m) < maxLoadMetrics {
		m[name] = value
	}
}

func parseTextReport(body string) loadMetricMap {
	metrics := loadMetricMap{}
	for pair := range strings.SplitSeq(body, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if value, err := strconv.ParseFloat(strings.TrimSpace(number), 64); ok && err == nil {
			metrics.add(strings.TrimSpace(name), value)
		}
	}
	return metrics
}

func parseJSONReport(body string) loadMetricMap {
	report := gjson.Parse(body)
	if !json.Valid([]byte(body)) || !report.IsObject() {
		return nil
	}
	metrics := loadMetricMap{}
	metrics.addNumbers(report, "")
	report.ForEach(func(name, field gjson.Result) bool {
		if field.IsObject() { // named_metrics, request_cost, utilization
			metrics.addNumbers(field, name.Str+".")
		}
		return true
	})
	return metrics
}

// addNumbers adds the fields of an object that are numbers, with prefix before their names.
func (m loadMetricMap) addNumbers(object gjson.Result, prefix string) {
	object.ForEach(func(name, field gjson.Result) bool {
		if field.Type == gjson.Number {
			m.add(prefix+name.Str, field.Num)
		}
		return true
	})
}
