package main

import (
	"brackenbend/internal/simprotocol"
	"brackenbend/routing"
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"
)

const settings = `{"Kinds":["r","w"],"FamilyInfo":{"KindRole":["read","write"]},"Classes":[{"Repeat":"free","Deadline":5000000,"Promise":1000000}]}`

// batch frames ready-made records.
func batch(seq, records uint32, body []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(20+len(body)))
	out = binary.BigEndian.AppendUint32(out, records)
	out = binary.BigEndian.AppendUint64(out, 1_000_000)
	out = binary.BigEndian.AppendUint32(out, seq)
	return append(out, body...)
}

func start(instance byte, text string) []byte {
	out := []byte{12, 0, instance, 0, 0, 0, 0, 0, 0, 0, 0, 1}
	out = binary.BigEndian.AppendUint32(out, uint32(len(text)))
	return append(out, text...)
}

func TestEmptyBatchIsAnswered(t *testing.T) {
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(9, 0, nil)), &out); err != nil {
		t.Fatal(err)
	}
	if want := []byte{0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 9}; !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("have %x", out.Bytes())
	}
}

// TestStartListOrder starts an instance, gives it one reader and one writer, and expects a Transmit to the reader.
func TestStartListOrder(t *testing.T) {
	list := []byte{11, 0, 0, 0, 0, 2}
	for i := range byte(2) {
		list = append(list, 0x3f, 0x80, 0, 0, i, 1, 0, 0, 0, 40+i)
		list = append(list, make([]byte, 12)...)
	}
	body := append(start(1, settings), list...)
	body = append(body, 1, 3, 0, 0, 0, 1, 0)
	order := make([]byte, 52)
	order[0], order[4], order[13], order[8] = 2, 7, 0, 0
	binary.BigEndian.PutUint64(order[6:], 6_000_000)
	copy(order[26:], []byte{0x44, 0xe1, 0, 0})
	body = append(body, order...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(1, 5, body)), &out); err != nil {
		t.Fatal(err)
	}
	if want := []byte{1, 0, 0, 0, 7, 0, 0, 0, 40}; !bytes.Contains(out.Bytes(), want) {
		t.Fatalf("no send to the reader in %x", out.Bytes())
	}
}

func TestBadInputStops(t *testing.T) {
	tests := []struct {
		name string
		in   []byte
		want string
	}{
		{"truncated", batch(1, 1, start(1, settings))[:30], "batch body"},
		{"settings not JSON", batch(1, 2, start(1, "{")), "settings"},
		{"no classes", batch(1, 2, start(1, `{"Kinds":["r"]}`)), "Classes"},
		{"unknown role", batch(1, 2, start(1, `{"FamilyInfo":{"KindRole":["x"]}}`)), "KindRole[0]"},
		{"negative time", batch(1, 2, start(1, strings.Replace(settings, "1000000}", "-1}", 1))), "negative time"},
		{"not started", batch(1, 2, []byte{12, 0, 1, 5, 0, 0, 0, 1}), "has not started"},
		{"event after stop", batch(1, 4, append(start(1, settings), 9, 5, 0, 0, 0, 1)), "has not started"},
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

func TestPanicBecomesFault(t *testing.T) {
	actions, fault := step(nil, &simprotocol.Batch{}, []routing.Event{routing.Timer{}})
	if actions != nil || !strings.Contains(fault, "decision module") {
		t.Fatalf("actions %v, fault %q", actions, fault)
	}
}
