package simprotocol

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"brackenbend/routing"
)

const us = time.Microsecond

// decodeHex decodes hexadecimal digits; spaces between them are ignored.
func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	out, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// batchTime is the time in the headers that frame writes.
const batchTime = 0x805c5a * us

// frame joins fields in hexadecimal and puts a batch header with the sequence number 12 in front.
func frame(t testing.TB, records uint32, fields ...string) []byte {
	t.Helper()
	body := decodeHex(t, strings.Join(fields, ""))
	header := binary.BigEndian.AppendUint32(nil, uint32(batchHeaderSize+len(body)))
	header = binary.BigEndian.AppendUint32(header, records)
	header = binary.BigEndian.AppendUint64(header, uint64(batchTime/us))
	header = binary.BigEndian.AppendUint32(header, 12)
	return append(header, body...)
}

// Records in hexadecimal: one selects instance 3, one defines list 2 with two endpoints.
const (
	instance3 = "0c 0003"
	listOfTwo = "0b 02 00000002 3f800000 00 01 03124a07 0000 0000000000000000 0000 " +
		"3fc00000 01 02 2c9011f2 0001 00000000005d1420 0004"
)

// decode decodes one batch.
func decode(t testing.TB, in []byte) *Batch {
	t.Helper()
	batch, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	return batch
}

func TestDecodeEvents(t *testing.T) {
	endpoints := []routing.Endpoint{
		{ID: 0x03124a07, State: routing.EndpointReady, Weight: 1},
		{ID: 0x2c9011f2, Kind: 1, Zone: 1, Cell: 4, State: routing.EndpointDraining, StartedAt: 6100000 * us, Weight: 1.5},
	}
	tests := []struct {
		name, hex string
		want      any
	}{
		{"start", "00 0000000000000007 00000002 7b7d", Start{Seed: 7, Settings: []byte("{}")}},
		{"cached list", "01 03 00000029 02", routing.EndpointList{Scope: routing.ListCached, Endpoints: endpoints}},
		{"failed list", "01 00 00000000 ff", routing.EndpointList{Scope: routing.ListFailed}},
		{
			"request", "02 5d3a91c4 12 00000000008405da 91f03b7c55d20a64 00000001 44e10000 00002ee0 44960000 43800000 " +
				"0001 2b8e6401d9f37c10",
			routing.Request{
				ID: 0x5d3a91c4, Class: 1, Tenant: 1, Session: 0x91f03b7c55d20a64, Prefix: 0x2b8e6401d9f37c10,
				PromptTokens: 1800, PrefixTokens: 1200, MaxOutputTokens: 256,
				Deadline: 0x8405da * us, Retry: true, ResumedStream: true,
			},
		},
		{
			"first token", "03 5d3a91c4 03124a07 00002422 0001",
			routing.FirstToken{Request: 0x5d3a91c4, Endpoint: 0x03124a07, Elapsed: 0x2422 * us, Attempt: 1},
		},
		{
			"prefill done", "04 5d3a91c4 0000 03124a07 00004844 00 00000400 0066 02 3f000000 3f800000",
			routing.Outcome{
				Request: 0x5d3a91c4, Endpoint: 0x03124a07, Elapsed: 0x4844 * us, Result: routing.PrefillDone, CachedTokens: 1024,
				LoadReport: []float64{0.5, 1},
			},
		},
		{
			"state missing", "04 5d3a91c4 0002 03124a07 00004844 01 00000001 001e 00",
			routing.Outcome{
				Request: 0x5d3a91c4, Attempt: 2, Endpoint: 0x03124a07, Elapsed: 0x4844 * us, RequestDone: true,
				Result: routing.Rejected, StateMissing: true,
			},
		},
		{"client disconnected", "05 0e6f2b19", routing.ClientDisconnected{Request: 0x0e6f2b19}},
		{"timer", "06 000000000000004d", routing.Timer{Tag: 0x4d}},
		{"stop", "09", Stop{}},
		{
			"reserved", "0a 5d3a91c4 0000 03124a07 01 00000000",
			routing.Reserved{Request: 0x5d3a91c4, Endpoint: 0x03124a07, OK: true},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			batch := decode(t, frame(t, 3, listOfTwo, instance3, tc.hex))
			if batch.Now != batchTime || batch.Seq != 12 || len(batch.Items) != 1 || batch.Items[0].Instance != 3 {
				t.Fatalf("batch %+v", batch)
			}
			if !reflect.DeepEqual(batch.Items[0].Event, tc.want) {
				t.Fatalf("have %+v, want %+v", batch.Items[0].Event, tc.want)
			}
		})
	}
}

func TestDecodeListReplacedInOneBatch(t *testing.T) {
	replacement := "0b 02 00000001 3f800000 00 01 00000009 0000 0000000000000000 0000"
	batch := decode(t, frame(t, 5,
		listOfTwo, instance3, "01 01 00000001 02", replacement, "01 04 00000002 02"))
	first := batch.Items[0].Event.(routing.EndpointList)
	second := batch.Items[1].Event.(routing.EndpointList)
	if len(first.Endpoints) != 2 || len(second.Endpoints) != 1 || second.Endpoints[0].ID != 9 {
		t.Fatalf("lists %+v and %+v", first, second)
	}
}

func TestDecodeRejectsMalformedBatches(t *testing.T) {
	good := frame(t, 2, instance3, "05 0e6f2b19")
	long := bytes.Clone(good)
	long[0] = 0xff
	tests := []struct {
		name string
		in   []byte
		want string
	}{
		{"truncated header", good[:7], "batch header"},
		{"truncated body", good[:len(good)-1], "batch body"},
		{"length out of range", long, "out of range"},
		{"length below the header's", append([]byte{0, 0, 0, 3}, good[4:]...), "out of range"},
		{"record code", frame(t, 2, instance3, "63"), "unknown record code"},
		{"truncated record", frame(t, 2, instance3, "05 0e6f"), "record 1"},
		{"bytes after the last record", frame(t, 1, instance3, "05 0e6f2b19"), "bytes left"},
		{"event before an instance", frame(t, 1, "05 0e6f2b19"), "before any instance"},
		{"list too long", frame(t, 1, "0b 00 ffffffff"), "does not fit"},
		{"list number out of range", frame(t, 1, "0b 10 00000000"), "does not fit"},
		{"list never defined", frame(t, 2, instance3, "01 01 00000001 05"), "never defined"},
		{"list scope code", frame(t, 2, instance3, "01 09 00000001 05"), "unknown list scope"},
		{"outcome code", frame(t, 2, instance3, "04 5d3a91c4 0000 03124a07 00004844 01 00000000 0009 00"), "unknown outcome"},
		{"settings too long", frame(t, 2, instance3, "00 0000000000000007 ffffffff 7b7d"), "unexpected EOF"},
		{"NaN in an unused field", frame(t, 2, instance3, "0a 5d3a91c4 0000 03124a07 01 7fc00000"), "not finite"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := NewDecoder(bytes.NewReader(tc.in)).Next()
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("error %v, want one with %q", err, tc.want)
			}
		})
	}
}

func TestDecodeReportsEndOfInput(t *testing.T) {
	if _, err := NewDecoder(bytes.NewReader(nil)).Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("end of input: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(f, 3, listOfTwo, instance3, "01 01 00000001 02"))
	f.Add(frame(f, 2, instance3, "04 5d3a91c4 0000 03124a07 00004844 01 00000000 000a 00"))
	f.Add(frame(f, 2, instance3, "02 5d3a91c4"))
	f.Add([]byte{0, 0, 0, 20})
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for range 100 {
			batch, err := d.Next()
			if err != nil {
				return
			}
			for _, item := range batch.Items {
				if item.Event == nil {
					t.Fatal("decoded item without an event")
				}
			}
		}
	})
}
