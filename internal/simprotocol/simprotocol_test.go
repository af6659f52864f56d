package simprotocol

import (
	"brackenbend/routing"
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

const us = time.Microsecond

// frame joins hand-written hex fields and puts the header in front.
func frame(t testing.TB, records uint32, fields ...string) []byte {
	t.Helper()
	body, err := hex.DecodeString(strings.ReplaceAll(strings.Join(fields, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	head := []byte{0, 0, 0, 0, 0, 0, 0, byte(records), 0, 0, 0, 0, 0, 0x80, 0x5c, 0x5a, 0, 0, 0, 12}
	head[2], head[3] = byte((len(body)+batchHead)>>8), byte(len(body)+batchHead)
	return append(head, body...)
}

const (
	forThree = "0c 0003"
	rows     = "0b 02 00000002 3f800000 00 01 03124a07 0000 0000000000000000 0000 3fc00000 01 02 2c9011f2 0001 00000000005d1420 0004"
)

func TestDecodeEvents(t *testing.T) {
	servers := []routing.Endpoint{
		{ID: 0x03124a07, State: routing.EndpointReady, Weight: 1},
		{ID: 0x2c9011f2, Kind: 1, Zone: 1, Cell: 4, State: routing.EndpointDraining, StartedAt: 6100000 * us, Weight: 1.5},
	}
	tests := []struct {
		name, hex string
		want      any
	}{
		{"start", "00 0000000000000007 00000002 7b7d", Start{Seed: 7, Info: []byte("{}")}},
		{"cached list", "01 03 00000029 02", routing.EndpointList{Scope: routing.ListCached, Endpoints: servers}},
		{"failed list", "01 00 00000000 ff", routing.EndpointList{Scope: routing.ListFailed}},
		{
			"order", "02 5d3a91c4 12 00000000008405da 91f03b7c55d20a64 00000001 44e10000 00002ee0 44960000 43800000 0001 2b8e6401d9f37c10",
			routing.Request{
				ID: 0x5d3a91c4, Class: 1, Tenant: 1, Session: 0x91f03b7c55d20a64, Prefix: 0x2b8e6401d9f37c10,
				PromptTokens: 1800, PrefixTokens: 1200, MaxOutputTokens: 256, Deadline: 0x8405da * us, Retry: true, ResumedStream: true,
			},
		},
		{
			"first", "03 5d3a91c4 03124a07 00002422 0001",
			routing.FirstToken{Request: 0x5d3a91c4, Endpoint: 0x03124a07, Elapsed: 0x2422 * us, Attempt: 1},
		},
		{
			"read done", "04 5d3a91c4 0000 03124a07 00004844 00 00000400 0066 02 3f000000 3f800000",
			routing.Outcome{
				Request: 0x5d3a91c4, Endpoint: 0x03124a07, Elapsed: 0x4844 * us, Result: routing.PrefillDone, CachedTokens: 1024,
				LoadReport: []float64{0.5, 1},
			},
		},
		{
			"no state", "04 5d3a91c4 0002 03124a07 00004844 01 00000001 001e 00",
			routing.Outcome{
				Request: 0x5d3a91c4, Attempt: 2, Endpoint: 0x03124a07, Elapsed: 0x4844 * us, RequestDone: true,
				Result: routing.Rejected, StateMissing: true,
			},
		},
		{"client gone", "05 0e6f2b19", routing.ClientDisconnected{Request: 0x0e6f2b19}},
		{"wakeup", "06 000000000000004d", routing.Timer{Tag: 0x4d}},
		{"stop", "09", Stop{}},
		{"held", "0a 5d3a91c4 0000 03124a07 01 00000000", routing.Reserved{Request: 0x5d3a91c4, Endpoint: 0x03124a07, OK: true}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b, err := NewDecoder(bytes.NewReader(frame(t, 3, rows, forThree, tc.hex))).Next()
			if err != nil {
				t.Fatal(err)
			}
			if b.Now != 0x805c5a*us || b.Seq != 12 || len(b.Items) != 1 || b.Items[0].Instance != 3 {
				t.Fatalf("batch %+v", b)
			}
			if !reflect.DeepEqual(b.Items[0].Event, tc.want) {
				t.Fatalf("have %+v, want %+v", b.Items[0].Event, tc.want)
			}
		})
	}
}

func TestListReplacedInOneBatch(t *testing.T) {
	one := "0b 02 00000001 3f800000 00 01 00000009 0000 0000000000000000 0000"
	b, err := NewDecoder(bytes.NewReader(frame(t, 5, rows, forThree, "01 01 00000001 02", one, "01 04 00000002 02"))).Next()
	if err != nil {
		t.Fatal(err)
	}
	first, second := b.Items[0].Event.(routing.EndpointList), b.Items[1].Event.(routing.EndpointList)
	if len(first.Endpoints) != 2 || len(second.Endpoints) != 1 || second.Endpoints[0].ID != 9 {
		t.Fatalf("lists %+v and %+v", first, second)
	}
}

func TestMalformed(t *testing.T) {
	good := frame(t, 2, forThree, "05 0e6f2b19")
	long := bytes.Clone(good)
	long[0] = 0xff
	tests := []struct {
		name string
		in   []byte
		want string
	}{
		{"cut header", good[:7], "batch header"},
		{"cut body", good[:len(good)-1], "batch body"},
		{"length out of range", long, "out of range"},
		{"length under the header", append([]byte{0, 0, 0, 3}, good[4:]...), "out of range"},
		{"unknown code", frame(t, 2, forThree, "63"), "unknown record code"},
		{"record cut", frame(t, 2, forThree, "05 0e6f"), "record 1"},
		{"bytes left", frame(t, 1, forThree, "05 0e6f2b19"), "bytes left"},
		{"no instance", frame(t, 1, "05 0e6f2b19"), "before any instance"},
		{"list too long", frame(t, 1, "0b 00 ffffffff"), "does not fit"},
		{"list slot", frame(t, 1, "0b 10 00000000"), "does not fit"},
		{"list never defined", frame(t, 2, forThree, "01 01 00000001 05"), "never defined"},
		{"scope", frame(t, 2, forThree, "01 09 00000001 05"), "unknown list scope"},
		{"outcome", frame(t, 2, forThree, "04 5d3a91c4 0000 03124a07 00004844 01 00000000 0009 00"), "unknown outcome"},
		{"settings too long", frame(t, 2, forThree, "00 0000000000000007 ffffffff 7b7d"), "unexpected EOF"},
		{"not a number", frame(t, 2, forThree, "0a 5d3a91c4 0000 03124a07 01 7fc00000"), "not finite"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := NewDecoder(bytes.NewReader(tc.in)).Next()
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("error %v, want one with %q", err, tc.want)
			}
		})
	}
	if _, err := NewDecoder(bytes.NewReader(nil)).Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("end of input: %v", err)
	}
}

func TestEncodeActions(t *testing.T) {
	r := NewReply(nil, 12)
	err := r.Add(3, []routing.Action{
		routing.Send{Request: 0x5d3a91c4, Endpoint: 0x03124a07, Timeout: 80 * time.Millisecond},
		routing.SetTimer{After: 500 * time.Millisecond, Tag: 0x4d},
		routing.Reject{Request: 0x0e6f2b19, RetryAfter: 250 * time.Millisecond},
		routing.Fail{Request: 1},
		routing.Cancel{Request: 2, Attempt: 3},
		routing.ReleaseState{Request: 4},
		routing.Reserve{Request: 5, Endpoint: 6},
		routing.FetchEndpoints{},
		routing.Log{Text: "ok"},
		routing.Send{Request: 1, Endpoint: 2, Timeout: -time.Second},
		routing.Reject{Request: 1, RetryAfter: math.MaxInt64},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.Fault(5, "gone")
	want := "08 0003 01 5d3a91c4 03124a07 00013880 0a 0007a120 000000000000004d 06 0e6f2b19 0003d090" +
		"0d 00000001 07 00000002 0003 0e 00000004 0f 00000005 00000006 0b 01 00 0002 6f6b" +
		"01 00000001 00000002 00000000 06 00000001 7fffffff 08 0005 0c 0004 676f6e65"
	body, err := hex.DecodeString(strings.ReplaceAll(want, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	have := r.Bytes()
	head := []byte{0, 0, 0, byte(len(body) + replyHead), 0, 0, 0, 14, 0, 0, 0, 12}
	if !bytes.Equal(have, append(head, body...)) {
		t.Fatalf("have %x", have)
	}
}

func TestParseSettings(t *testing.T) {
	text := `{"Balancers":2,"Zone":1,"Discovery":"ask","New":{"a":1},"Kinds":["p","d"],"OverShareWorth":0.2,
	 "Caps":{"AttemptsCap":4,"Cancel":true,"MaxRetryAfter":1000000,"SecondCopies":true},
	 "Classes":[{"Name":"x","Promise":1000000,"Deadline":5000000,"Importance":2,"LateWorth":0.3,"Repeat":"guarded","Group":"cell","Window":7}],
	 "FamilyInfo":{"AimUsPer1000PromptTokens":[40000],"KindRole":["read","both"],"KvTokens":[5,6],"Release":300000,"TokenAim":[60000],"LocalRead":true},
	 "Invariants":{"Cold":14000000,"ColdFrom":0.25,"OverloadFactor":4,"TipAfter":1500000,"StopSendingWithin":250000,"GraceToAnswer":8000},
	 "Tenants":[{"Name":"t","QuotaPerS":17,"Share":0.5}]}`
	s, err := ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := routing.Config{
		Replicas: 2, Zone: 1, PollEndpoints: true, MaxAttempts: 4, CanCancel: true, Hedging: true,
		MaxRetryAfter: time.Second, OverQuotaWeight: 0.2, DecodeCanPrefill: true, StateTTL: 300 * time.Millisecond,
		AnswerSlack: 8 * time.Millisecond, DrainGrace: 250 * time.Millisecond, SlowStartFrom: 0.25, SlowStartFor: 14 * time.Second,
		OverloadFactor: 4, OverloadAfter: 1500 * time.Millisecond,
		Kinds:   []routing.Kind{{Role: routing.RolePrefill, Memory: 5}, {Role: routing.RoleMixed, Memory: 6}},
		Tenants: []routing.Tenant{{QuotaPerS: 17, Share: 0.5}},
		Classes: []routing.Class{{
			Name: "x", LatencyObjective: time.Second, LatencyObjectivePer1000: 40 * time.Millisecond, TokenLatencyObjective: 60 * time.Millisecond,
			Deadline: 5 * time.Second, PriorityWeight: 2, LateWeight: 0.3, Idempotency: routing.IdempotentWithKey, DedupScope: routing.DedupCell, DedupWindow: 7 * us,
		}},
	}
	if !reflect.DeepEqual(s, want) {
		t.Fatalf("have %+v\nwant %+v", s, want)
	}
	for _, bad := range []string{
		`[`, `{"FamilyInfo":{"KindRole":["sing"]}}`, `{"Classes":[{"Repeat":"often"}]}`,
		`{"Classes":[{"Repeat":"free","Group":"town"}]}`,
	} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("%s: no error", bad)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(f, 3, rows, forThree, "01 01 00000001 02"))
	f.Add(frame(f, 2, forThree, "04 5d3a91c4 0000 03124a07 00004844 01 00000000 000a 00"))
	f.Add(frame(f, 2, forThree, "02 5d3a91c4"))
	f.Add([]byte{0, 0, 0, 20})
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for range 100 {
			b, err := d.Next()
			if err != nil {
				return
			}
			for _, it := range b.Items {
				if it.Event == nil {
					t.Fatal("an empty event came through")
				}
			}
		}
	})
}
