package routing

import (
	"fmt"
	"reflect"
	"testing"
)

// environmentConfig returns testConfig with two replicas, a shorter state TTL and low quotas.
func environmentConfig() Config {
	config := testConfig()
	config.Replicas, config.DrainGrace, config.StateTTL = 2, 0, 300*ms
	config.Tenants = []Tenant{{QuotaPerS: 10}, {QuotaPerS: 3}, {QuotaPerS: 0}}
	return config
}

func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		for _, arrivals := range []float64{0.05, 0.4} {
			t.Run(fmt.Sprintf("seed %d at %.2f", seed, arrivals), func(t *testing.T) {
				config := environmentConfig()
				config.CanCancel = seed%2 == 0
				config.DecodeCanPrefill = seed%3 == 0
				newEnvironment(t, config, seed, 2+int(seed)%9).run(2500, arrivals)
			})
		}
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	logs := make([][]string, 2)
	for i := range logs {
		env := newEnvironment(t, environmentConfig(), 42, 8)
		env.run(3000, 0.3)
		logs[i] = env.log
	}
	if len(logs[0]) < 1000 {
		t.Fatalf("only %d actions, too few to compare", len(logs[0]))
	}
	if !reflect.DeepEqual(logs[0], logs[1]) {
		t.Fatal("the same events gave different actions")
	}
}

func TestRoutersDoNotAffectEachOther(t *testing.T) {
	alone := newEnvironment(t, environmentConfig(), 5, 6)
	alone.run(1500, 0.3)
	one, other := newEnvironment(t, environmentConfig(), 5, 6), newEnvironment(t, environmentConfig(), 6, 6)
	other.run(700, 0.3)
	one.run(1500, 0.3)
	if !reflect.DeepEqual(alone.log, one.log) {
		t.Fatal("the actions changed when another router ran")
	}
}
