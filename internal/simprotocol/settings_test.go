package simprotocol

import (
	"reflect"
	"testing"
	"time"

	"brackenbend/routing"
)

const settingsText = `{
	"Balancers":2,"Zone":1,"Discovery":"ask","New":{"a":1},"Kinds":["p","d"],"OverShareWorth":0.2,
	"Caps":{"AttemptsCap":4,"Cancel":true,"MaxRetryAfter":1000000,"SecondCopies":true},
	"Classes":[{"Name":"x","Promise":1000000,"Deadline":5000000,"Importance":2,"LateWorth":0.3,
		"Repeat":"guarded","Group":"cell","Window":7}],
	"FamilyInfo":{"AimUsPer1000PromptTokens":[40000],"KindRole":["read","both"],"KvTokens":[5,6],"Release":300000,
		"TokenAim":[60000],"LocalRead":true},
	"Invariants":{"Cold":14000000,"ColdFrom":0.25,"OverloadFactor":4,"TipAfter":1500000,"StopSendingWithin":250000,
		"GraceToAnswer":8000},
	"Tenants":[{"Name":"t","QuotaPerS":17,"Share":0.5}]}`

func TestParseSettings(t *testing.T) {
	config, err := ParseSettings([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	want := routing.Config{
		Replicas: 2, Zone: 1, PollEndpoints: true, MaxAttempts: 4, CanCancel: true, Hedging: true,
		MaxRetryAfter: time.Second, OverQuotaWeight: 0.2, DecodeCanPrefill: true, StateTTL: 300 * time.Millisecond,
		AnswerSlack: 8 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
		SlowStartFrom: 0.25, SlowStartFor: 14 * time.Second,
		OverloadFactor: 4, OverloadAfter: 1500 * time.Millisecond,
		Kinds:   []routing.Kind{{Role: routing.RolePrefill, Memory: 5}, {Role: routing.RoleMixed, Memory: 6}},
		Tenants: []routing.Tenant{{QuotaPerS: 17, Share: 0.5}},
		Classes: []routing.Class{{
			Name: "x", LatencyObjective: time.Second, LatencyObjectivePer1000: 40 * time.Millisecond,
			TokenLatencyObjective: 60 * time.Millisecond, Deadline: 5 * time.Second,
			PriorityWeight: 2, LateWeight: 0.3, Idempotency: routing.IdempotentWithKey,
			DedupScope: routing.DedupCell, DedupWindow: 7 * time.Microsecond,
		}},
	}
	if !reflect.DeepEqual(config, want) {
		t.Fatalf("have %+v\nwant %+v", config, want)
	}
}

func TestParseSettingsRejectsUnknownValues(t *testing.T) {
	for _, text := range []string{
		`[`, `{"FamilyInfo":{"KindRole":["sing"]}}`, `{"Classes":[{"Repeat":"often"}]}`,
		`{"Classes":[{"Repeat":"free","Group":"town"}]}`,
	} {
		if _, err := ParseSettings([]byte(text)); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}
