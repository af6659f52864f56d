package simprotocol

import (
	"bytes"
	"math"
	"testing"
	"time"

	"brackenbend/routing"
)

func TestReplyEncodesActions(t *testing.T) {
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
	r.AddFault(5, "gone")
	want := "08 0003 01 5d3a91c4 03124a07 00013880 0a 0007a120 000000000000004d 06 0e6f2b19 0003d090" +
		"0d 00000001 07 00000002 0003 0e 00000004 0f 00000005 00000006 0b 01 00 0002 6f6b" +
		"01 00000001 00000002 00000000 06 00000001 7fffffff 08 0005 0c 0004 676f6e65"
	body := decodeHex(t, want)
	have := r.Bytes()
	header := []byte{0, 0, 0, byte(len(body) + replyHeaderSize), 0, 0, 0, 14, 0, 0, 0, 12}
	if !bytes.Equal(have, append(header, body...)) {
		t.Fatalf("have %x", have)
	}
}
