package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackenbend/internal/golden"
)

// requestRecord returns the record of a request in hexadecimal. The prompt is its length in tokens, a 32-bit
// float.
func requestRecord(id byte, prompt string) string {
	return fmt.Sprintf("02 000000%02x 00 00000000005b8d80 91f03b7c55d20a64 00000001 %s 00002ee0 44960000 43800000 0000 "+
		"2b8e6401d9f37c10", id, prompt)
}

// TestRecordedExchange guards the simulator's protocol: the bytes that the adapter answers must stay the same while the
// code is refactored, so the golden file is not to be updated. The input has two instances, cached, full and failed
// endpoint lists, requests, a first token, outcomes, a client that disconnects, a timer, a reservation and a stop.
func TestRecordedExchange(t *testing.T) {
	testdata := filepath.Join("..", "..", "internal", "simprotocol", "testdata")
	fullSettings, err := os.ReadFile(filepath.Join(testdata, "settings-full.json"))
	if err != nil {
		t.Fatal(err)
	}
	const (
		instance1 = "0c 0001"
		instance2 = "0c 0002"
		endpoints = "0b 02 00000003 3f800000 00 01 00000028 0000 0000000000000000 0000 " +
			"3f800000 01 01 00000029 0000 0000000000000000 0000 3f800000 00 02 0000002a 0000 0000000000000000 0000"
	)
	batches := [][]string{
		{hex.EncodeToString(encodeStart(1, settings)), hex.EncodeToString(encodeStart(2, string(fullSettings)))},
		{endpoints, instance1, "01 03 00000001 02", instance2, "01 01 00000001 02"},
		{
			instance1, requestRecord(7, "44e10000"), requestRecord(8, "43e10000"),
			instance2, requestRecord(9, "42e10000"),
		},
		{
			instance1, "04 00000007 0000 00000028 00004844 00 00000400 0066 02 3f000000 3f800000",
			"0a 00000007 0000 00000028 01 00000000",
		},
		{instance1, "03 00000007 00000029 00002422 0001", "05 00000008", "06 000000000000004d"},
		{instance1, "01 00 00000000 ff", "09"},
	}
	var input, output bytes.Buffer
	for i, records := range batches {
		body, err := hex.DecodeString(strings.ReplaceAll(strings.Join(records, ""), " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		batch := encodeBatch(uint32(i+1), uint32(len(records)), body)
		if i == 0 { // each start is two records, so this batch has four
			binary.BigEndian.PutUint32(batch[4:], 4)
		}
		input.Write(batch)
	}
	err = run(bytes.NewReader(input.Bytes()), &output)
	golden.Check(t, "exchange.txt",
		fmt.Sprintf("in\n%sout\n%serror %v\n", hex.Dump(input.Bytes()), hex.Dump(output.Bytes()), err))
}
