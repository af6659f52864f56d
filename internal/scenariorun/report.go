package scenariorun

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/simulation/scenario"
)

const (
	// socketSlack is added to limits on the time between events of two sockets, which different goroutines record.
	socketSlack = 50 * time.Millisecond
	// lagFactor times the worst scheduling lag is added as well: once for each of the two sockets.
	lagFactor = 2
	// maxPrintedViolations is how many violations of one rule are printed.
	maxPrintedViolations = 10
)

// The keys of Report.Attempts.
const (
	attemptsPrefill      = "read"
	attemptsDecode       = "write"
	attemptsExecuted     = "ran"
	attemptsDeduplicated = "repeat dropped"
)

// Report is the outcome of a scenario.
type Report struct {
	Seconds         float64                 `json:"seconds"`
	WorstLagMS      float64                 `json:"worst_lag_ms"` // scheduling lag of this process; part of the slack
	Service         float64                 `json:"service"`      // priority weight served over that requested
	Classes         []scenario.Row          `json:"classes"`
	Tenants         []scenario.Row          `json:"tenants"`
	Attempts        map[string]int          `json:"attempts"` // by the keys above; counted from the events of engines
	Rules           []audit.RuleResult      `json:"rules"`
	ExpectedService float64                 `json:"expected_service,omitempty"`
	RoleSamples     []RoleSample            `json:"roles,omitempty"` // none where engines keep their roles
	Timeline        []scenario.SecondTotals `json:"course"`          // by the second in which requests were first sent
	Events          []audit.Event           `json:"-"`
}

// report creates the report of a scenario that has ended.
func (r *run) report(clients *loadGenerator, lag time.Duration) *Report {
	report := &Report{
		Seconds:    r.scenario.Length.Seconds(),
		WorstLagMS: float64(lag.Microseconds()) / 1000,
		Service:    clients.score.Service(),
		Timeline:   clients.score.Timeline,
		Events:     r.record.Events(),
	}
	report.Classes, report.Tenants = clients.score.Rows()
	report.Attempts = countAttempts(report.Events)
	report.Rules = audit.Check(report.Events, audit.Limits{
		DrainGrace:    r.scenario.Service.DrainGrace,
		StateTTL:      r.scenario.Service.StateTTL,
		OverloadAfter: r.scenario.Service.OverloadAfter,
		Slack:         socketSlack + lagFactor*lag,
	})
	// A crashed replica leaves requests without an answer, which is what the first rule forbids.
	report.Rules[0].Violations = append(report.Rules[0].Violations, r.replicas.crashViolations()...)
	if r.planners != nil {
		report.RoleSamples = r.planners.samples
	}
	if r.scenario.Expected != nil {
		report.ExpectedService = r.scenario.Expected.Service
	}
	return report
}

// countAttempts returns the counts for Report.Attempts.
func countAttempts(events []audit.Event) map[string]int {
	attempts := map[string]int{}
	for _, e := range events {
		switch {
		case e.Kind == audit.RequestArrived && e.Decode:
			attempts[attemptsDecode]++
		case e.Kind == audit.RequestArrived:
			attempts[attemptsPrefill]++
		case e.Kind == audit.Executed:
			attempts[attemptsExecuted]++
		case e.Kind == audit.Deduplicated:
			attempts[attemptsDeduplicated]++
		}
	}
	return attempts
}

// Violations is the number of violations of the rules. A rule that was never checked counts as one, and so does a
// service below what the scenario expects.
func (r *Report) Violations() int {
	count := 0
	for _, rule := range r.Rules {
		count += len(rule.Violations)
		if rule.Checks == 0 {
			count++
		}
	}
	if r.belowExpectedService() {
		count++
	}
	return count
}

func (r *Report) belowExpectedService() bool { return r.Service < r.ExpectedService }

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "\nservice %.3f over %.0f s\n\n", r.Service, r.Seconds)
	writeRows(&b, "class", r.Classes)
	writeRows(&b, "tenant", r.Tenants)
	fmt.Fprintf(&b, "attempts at engines: %d prefills, %d decodes; %d took effect, %d repeated requests were dropped\n\n",
		r.Attempts[attemptsPrefill], r.Attempts[attemptsDecode],
		r.Attempts[attemptsExecuted], r.Attempts[attemptsDeduplicated])
	r.writeRoles(&b)
	fmt.Fprintf(&b, "worst scheduling lag of this process %.0f ms; "+
		"the time limits for drains and read states are extended by 50 ms and twice this lag\n", r.WorstLagMS)
	for i, rule := range r.Rules {
		writeRule(&b, i+1, rule)
	}
	if r.belowExpectedService() {
		fmt.Fprintf(&b, "service %.3f is below the %.3f that this scenario expects\n", r.Service, r.ExpectedService)
	}
	_, err := w.Write(b.Bytes())
	return err
}

// writeRows writes the table of classes or tenants.
func writeRows(b *bytes.Buffer, column string, rows []scenario.Row) {
	const (
		head = "%-12s %8s %7s %7s %5s %8s %7s %7s %5s %5s %6s %9s %9s\n"
		line = "%-12s %8d %7.3f %7d %5d %8d %7d %7d %5d %5d %6d %7.0fms %7.0fms\n"
	)
	fmt.Fprintf(b, head, column, "requests", "service", "served", "late", "refused", "failed", "broken", "left", "lost",
		"tries", "first p50", "p99")
	for _, row := range rows {
		fmt.Fprintf(b, line, row.Name, row.Requests, row.Service, row.Served, row.Late, row.Rejected, row.Failed,
			row.Broken, row.Disconnected, row.Lost, row.Attempts, row.FirstTokenP50, row.FirstTokenP99)
	}
	b.WriteString("\n")
}

// writeRoles writes how the roles of engines changed, where engines change role.
func (r *Report) writeRoles(b *bytes.Buffer) {
	if len(r.RoleSamples) == 0 {
		return
	}
	first, last := r.RoleSamples[0], r.RoleSamples[len(r.RoleSamples)-1]
	maxChanging := 0
	for _, sample := range r.RoleSamples {
		maxChanging = max(maxChanging, sample.Changing)
	}
	fmt.Fprintf(b, "roles: %d prefill and %d decode engines at the start, %d and %d at the end; "+
		"%d commands, at most %d engines changing role at once\n\n",
		first.PrefillEngines, first.DecodeEngines, last.PrefillEngines, last.DecodeEngines,
		last.Commands, maxChanging)
}

// writeRule writes the outcome of one rule.
func writeRule(b *bytes.Buffer, number int, rule audit.RuleResult) {
	fmt.Fprintf(b, "rule %d, %s: %d checks, %d breaches", number, rule.Rule, rule.Checks, len(rule.Violations))
	if rule.WorstCase != "" {
		fmt.Fprintf(b, " (%s)", rule.WorstCase)
	}
	b.WriteString("\n")
	for i, violation := range rule.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(b, "  ... and %d more\n", len(rule.Violations)-maxPrintedViolations)
			break
		}
		fmt.Fprintf(b, "  %s\n", violation)
	}
	if rule.Checks == 0 {
		b.WriteString("  never checked: no event of this scenario tests the rule\n")
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
