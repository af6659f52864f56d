package trace

import (
	"fmt"
	"slices"

	"brackenbend/internal/simulation/scenario"
)

// UnknownNameError is the error for a recorded request whose class or tenant the scenario does not have.
type UnknownNameError struct {
	Request int    // counted from 1
	Element string // class or tenant
	Name    string
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("trace: request %d has %s %q, which is not a <%s> of the scenario",
		e.Request, e.Element, e.Name, e.Element)
}

// RecordedRequests assigns the requests to the classes and tenants of a scenario, by name, for a replay.
func (t *Trace) RecordedRequests(s *scenario.Scenario) ([]scenario.RecordedRequest, error) {
	requests := make([]scenario.RecordedRequest, 0, len(t.Requests))
	for i, r := range t.Requests {
		class := slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == r.Class })
		if class < 0 {
			return nil, &UnknownNameError{i + 1, "class", r.Class}
		}
		tenant := slices.IndexFunc(s.Tenants, func(x scenario.Tenant) bool { return x.Name == r.Tenant })
		if tenant < 0 && len(s.Tenants) > 0 {
			return nil, &UnknownNameError{i + 1, "tenant", r.Tenant}
		}
		answerTokens := r.AnswerTokens
		if answerTokens == 0 { // rejected or failed: the length of its answer is unknown, so the mean is used
			answerTokens = max(int(s.Classes[class].AnswerTokens), 1)
		}
		requests = append(requests, scenario.RecordedRequest{
			At: r.At, Class: class, Tenant: tenant, Session: r.Session, Prefix: r.Prefix, PromptTokens: r.PromptTokens,
			PrefixTokens: min(r.PrefixTokens, r.PromptTokens), AnswerTokens: answerTokens, Stream: r.Stream,
		})
	}
	return requests, nil
}
