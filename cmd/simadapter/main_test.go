package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"

	"brackenbend/internal/simprotocol"
	"brackenbend/routing"
)

const settings = `{"Kinds":["r","w"],"FamilyInfo":{"KindRole":["read","write"]},` +
	`"Classes":[{"Repeat":"free","Deadline":5000000,"Promise":1000000}]}`

// encodeBatch returns a batch with the given number of encoded records in its body.
func encodeBatch(seq, records uint32, body []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(20+len(body)))
	out = binary.BigEndian.AppendUint32(out, records)
	out = binary.BigEndian.AppendUint64(out, 1_000_000)
	out = binary.BigEndian.AppendUint32(out, seq)
	return append(out, body...)
}

// encodeStart returns two records: one that selects an instance, and one that starts it with these settings.
func encodeStart(instance byte, settings string) []byte {
	out := []byte{12, 0, instance, 0, 0, 0, 0, 0, 0, 0, 0, 1}
	out = binary.BigEndian.AppendUint32(out, uint32(len(settings)))
	return append(out, settings...)
}

func TestRunAnswersEmptyBatch(t *testing.T) {
	var out bytes.Buffer
	if err := run(bytes.NewReader(encodeBatch(9, 0, nil)), &out); err != nil {
		t.Fatal(err)
	}
	if want := []byte{0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 9}; !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("have %x", out.Bytes())
	}
}

// TestRunSendsRequestToPrefillEndpoint starts an instance, gives it a prefill and a decode endpoint and a request, and
// expects a send to the prefill endpoint.
func TestRunSendsRequestToPrefillEndpoint(t *testing.T) {
	endpointList := []byte{11, 0, 0, 0, 0, 2}
	for i := range byte(2) {
		endpointList = append(endpointList, 0x3f, 0x80, 0, 0, i, 1, 0, 0, 0, 40+i)
		endpointList = append(endpointList, make([]byte, 12)...)
	}
	body := append(encodeStart(1, settings), endpointList...)
	body = append(body, 1, 3, 0, 0, 0, 1, 0)
	request := make([]byte, 52)
	request[0], request[4] = 2, 7
	binary.BigEndian.PutUint64(request[6:], 6_000_000)
	copy(request[26:], []byte{0x44, 0xe1, 0, 0})
	body = append(body, request...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(encodeBatch(1, 5, body)), &out); err != nil {
		t.Fatal(err)
	}
	if want := []byte{1, 0, 0, 0, 7, 0, 0, 0, 40}; !bytes.Contains(out.Bytes(), want) {
		t.Fatalf("no send to the prefill endpoint in %x", out.Bytes())
	}
}

func TestRunEndsOnBadInput(t *testing.T) {
	tests := []struct {
		name string
		in   []byte
		want string
	}{
		{"truncated", encodeBatch(1, 1, encodeStart(1, settings))[:30], "batch body"},
		{"settings not JSON", encodeBatch(1, 2, encodeStart(1, "{")), "settings"},
		{"no classes", encodeBatch(1, 2, encodeStart(1, `{"Kinds":["r"]}`)), "Classes"},
		{"unknown role", encodeBatch(1, 2, encodeStart(1, `{"FamilyInfo":{"KindRole":["x"]}}`)), "KindRole[0]"},
		{
			"negative time",
			encodeBatch(1, 2, encodeStart(1, strings.Replace(settings, "1000000}", "-1}", 1))),
			"negative time",
		},
		{"not started", encodeBatch(1, 2, []byte{12, 0, 1, 5, 0, 0, 0, 1}), "has not started"},
		{"event after stop", encodeBatch(1, 4, append(encodeStart(1, settings), 9, 5, 0, 0, 0, 1)), "has not started"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			err := run(bytes.NewReader(tc.in), io.Discard)
			if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("error %v, want one line with %q", err, tc.want)
			}
		})
	}
}

func TestStepReturnsPanicAsError(t *testing.T) {
	actions, err := step(nil, &simprotocol.Batch{}, []routing.Event{routing.Timer{}})
	if actions != nil || err == nil || !strings.Contains(err.Error(), "decision module") {
		t.Fatalf("actions %v, error %v", actions, err)
	}
}
