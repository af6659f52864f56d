package planner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// reportPolicy is a policy that sends the age of each replica report that it gets to a channel.
type reportPolicy struct{ ages chan time.Duration }

func (p reportPolicy) Step(now time.Duration, _ []roles.Engine, replicas []roles.Replica) roles.Plan {
	for _, replica := range replicas {
		select {
		case p.ages <- now - replica.Report.At:
		default:
		}
	}
	return roles.Plan{}
}

// TestReplicaReportsAreNotInTheFuture checks that replica reports are not newer than the time of their round. The
// planner ignores reports from the future, so lost work never counted when the clock was read before the replicas were
// polled.
func TestReplicaReportsAreNotInTheFuture(t *testing.T) {
	const pollTime = 20 * time.Millisecond
	replica := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(pollTime) }))
	defer replica.Close()
	f := newFleet(t, roles.Prefill, roles.Decode)
	policy := reportPolicy{make(chan time.Duration, 10)}
	r := &planner.Runner{
		APIServer: f.client, Settings: roles.Config{}, Interval: time.Second, Log: zap.NewNop(), Policy: policy,
		Replicas: []string{strings.TrimPrefix(replica.URL, "http://")},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := r.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	select {
	case age := <-policy.ages:
		if age < 0 {
			t.Errorf("replica report is %v newer than its round", -age)
		}
	case <-time.After(eventuallyTimeout):
		t.Error("the policy got no replica report")
	}
	cancel()
	<-done
}
