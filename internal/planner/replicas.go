package planner

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"go.uber.org/zap"

	"brackenbend/internal/telemetry"
	"brackenbend/roles"
)

// LostCounts are a replica's totals of lost requests, by the stage that they had not completed.
type LostCounts struct{ Prefill, Decode float64 }

// LostWorkEstimator estimates the work that replicas lost from their counts of lost requests and the mean cost of a
// request.
type LostWorkEstimator struct {
	counts  map[string]LostCounts    // last counts, by replica
	reports map[string]*roles.Report // last reports, by replica
}

// NewLostWorkEstimator returns a LostWorkEstimator without counts.
func NewLostWorkEstimator() LostWorkEstimator {
	return LostWorkEstimator{counts: map[string]LostCounts{}, reports: map[string]*roles.Report{}}
}

// MeanCosts returns the mean work of a request at each stage, in engine seconds, over the lifetimes of the engines
// with a status.
func MeanCosts(statuses map[string]Status) (prefillCost, decodeCost float64) {
	var prefill, decode StageLoad
	for _, id := range slices.Sorted(maps.Keys(statuses)) { // sorted, so that rounding does not depend on map order
		status := statuses[id]
		prefill.Done, prefill.Count = prefill.Done+status.Prefill.Done, prefill.Count+status.Prefill.Count
		decode.Done, decode.Count = decode.Done+status.Decode.Done, decode.Count+status.Decode.Count
	}
	return prefill.Done / max(prefill.Count, 1), decode.Done / max(decode.Count, 1)
}

// Update processes a replica's counts at now, with the mean costs of a request, and returns the replica's report. A
// request that was lost before its prefill had ended counts as lost work of both stages, since it would have been
// decoded too.
func (l *LostWorkEstimator) Update(
	replica string, counts LostCounts, now time.Duration, prefillCost, decodeCost float64,
) *roles.Report {
	previous, known := l.counts[replica]
	l.counts[replica] = counts
	report := l.reports[replica]
	if report == nil {
		report = &roles.Report{}
		l.reports[replica] = report
	}
	report.At = now
	restarted := counts.Prefill < previous.Prefill || counts.Decode < previous.Decode
	if !known || restarted {
		return report
	}
	lostPrefills, lostDecodes := counts.Prefill-previous.Prefill, counts.Decode-previous.Decode
	report.Prefill.Lost += lostPrefills * prefillCost
	report.Decode.Lost += (lostPrefills + lostDecodes) * decodeCost
	return report
}

// pollReplicas reads the counters of the replicas and returns their reports, without those of replicas that did not
// answer.
func (r *Runner) pollReplicas(ctx context.Context) []roles.Replica {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout*r.Interval)
	defer cancel()
	answers := make([]*LostCounts, len(r.Replicas))
	forEachLimited(r.MaxConcurrentPolls, len(r.Replicas), func(i int) {
		counts, err := r.scrapeLostCounts(ctx, "http://"+r.Replicas[i]+"/metrics")
		if err != nil {
			r.Log.Debug("replica poll failed", zap.String("replica", r.Replicas[i]), zap.Error(err))
			return
		}
		answers[i] = &counts
	})
	prefillCost, decodeCost := MeanCosts(r.statuses)
	var replicas []roles.Replica
	for i, address := range r.Replicas {
		if answers[i] == nil {
			continue
		}
		report := *r.lost.Update(address, *answers[i], r.now(), prefillCost, decodeCost)
		replicas = append(replicas, roles.Replica{ID: address, Report: &report})
	}
	return replicas
}

// scrapeLostCounts reads a replica's counters of lost requests in the Prometheus text format.
func (r *Runner) scrapeLostCounts(ctx context.Context, url string) (counts LostCounts, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return counts, err
	}
	resp, err := r.APIServer.HTTP.Do(req)
	if err != nil {
		return counts, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return counts, &StatusError{Method: http.MethodGet, URL: url, Code: resp.StatusCode}
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return counts, fmt.Errorf("%s: %w", url, err)
	}
	for _, metric := range families["brackenbend_"+telemetry.LostRequestsName].GetMetric() {
		switch labelValue(metric, "stage") {
		case "read":
			counts.Prefill += metric.GetCounter().GetValue()
		case "write":
			counts.Decode += metric.GetCounter().GetValue()
		}
	}
	return counts, nil
}

func labelValue(metric *dto.Metric, name string) string {
	for _, label := range metric.GetLabel() {
		if label.GetName() == name {
			return label.GetValue()
		}
	}
	return ""
}
