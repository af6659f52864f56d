package main

import (
	"brackenbend/internal/golden"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRecordedExchange: bytes in, and the bytes that were answered before the renaming; not updated meanwhile. Two instances,
// cached, full and failed lists, requests, a first token, outcomes, a client that goes, a timer, a held state and a stop.
func TestRecordedExchange(t *testing.T) {
	full, err := os.ReadFile(filepath.Join("..", "..", "internal", "simprotocol", "testdata", "settings-full.json"))
	if err != nil {
		t.Fatal(err)
	}
	order := func(id byte, prompt string) string {
		return "02 000000" + fmt.Sprintf("%02x", id) + " 00 00000000005b8d80 91f03b7c55d20a64 00000001 " + prompt +
			" 00002ee0 44960000 43800000 0000 2b8e6401d9f37c10"
	}
	rows := "0b 02 00000003 3f800000 00 01 00000028 0000 0000000000000000 0000 3f800000 01 01 00000029 0000 0000000000000000 0000" +
		" 3f800000 00 02 0000002a 0000 0000000000000000 0000"
	batches := [][]string{
		{hex.EncodeToString(encodeStart(1, settings)), hex.EncodeToString(encodeStart(2, string(full)))},
		{rows, "0c 0001", "01 03 00000001 02", "0c 0002", "01 01 00000001 02"},
		{"0c 0001", order(7, "44e10000"), order(8, "43e10000"), "0c 0002", order(9, "42e10000")},
		{"0c 0001", "04 00000007 0000 00000028 00004844 00 00000400 0066 02 3f000000 3f800000", "0a 00000007 0000 00000028 01 00000000"},
		{"0c 0001", "03 00000007 00000029 00002422 0001", "05 00000008", "06 000000000000004d"},
		{"0c 0001", "01 00 00000000 ff", "09"},
	}
	var in, out bytes.Buffer
	for i, records := range batches {
		text := strings.ReplaceAll(strings.Join(records, ""), " ", "")
		body, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		b := encodeBatch(uint32(i+1), uint32(len(records)), body)
		if i == 0 { // each start has its own instance in front
			binary.BigEndian.PutUint32(b[4:], 4)
		}
		in.Write(b)
	}
	err = run(bytes.NewReader(in.Bytes()), &out)
	golden.Check(t, "exchange.txt", fmt.Sprintf("in\n%sout\n%serror %v\n", hex.Dump(in.Bytes()), hex.Dump(out.Bytes()), err))
}
