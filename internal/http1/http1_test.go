package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

var lim = Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 20}

func reader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 512) }

func TestRefusesWhatTwoParsersMayReadDifferently(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"two lengths":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", 400},
		"length and chunked":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"bare LF":             {"GET / HTTP/1.1\nHost: a\r\n\r\n", 400},
		"bare CR":             {"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", 400},
		"folded":              {"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400},
		"space before colon":  {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		"signed length":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n", 400},
		"listed length":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n", 400},
		"empty length":        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", 400},
		"gzip, chunked":       {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"two codings":         {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"chunked in 1.0":      {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"no host":             {"GET / HTTP/1.1\r\n\r\n", 400},
		"two hosts":           {"GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n", 400},
		"NUL in value":        {"GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n", 400},
		"version 2":           {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
		"space in target":     {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"unknown expectation": {"POST / HTTP/1.1\r\nHost: a\r\nExpect: 200-ok\r\n\r\n", 417},
		"head too large":      {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", 431},
		"too many fields":     {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", 20) + "\r\n", 431},
	} {
		_, err := ReadRequest(reader(c.head), lim)
		var e *Error
		if !errors.As(err, &e) || e.Status != c.status {
			t.Errorf("%s: %v, want status %d", name, err, c.status)
		}
	}
}

func TestHeadAByteAtATimeAndPipelined(t *testing.T) {
	msg := "\r\nPOST /v1/x?q=1 HTTP/1.1\r\nhost: a\r\nExpect: 100-Continue\r\nTransfer-Encoding: Chunked\r\n\r\n" +
		"3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	br := bufio.NewReader(iotest.OneByteReader(strings.NewReader(msg)))
	r, err := ReadRequest(br, lim)
	if err != nil || r.Path() != "/v1/x" || !r.ExpectContinue || !r.Chunked || r.Close || r.Header.Get("HOST") != "a" {
		t.Fatalf("%+v %v", r, err)
	}
	var b Body
	b.Reset(br, &r.Message, lim)
	if data, err := ReadAll(&b, 5); err != nil || string(data) != "abcde" || !b.AtEOF() {
		t.Fatalf("%q %v", data, err)
	}
	if r, err = ReadRequest(br, lim); err != nil || r.Target != "/next" || !r.Close || r.ContentLength != 0 {
		t.Fatalf("%+v %v", r, err)
	}
	if _, err = ReadRequest(br, lim); err != io.EOF {
		t.Fatalf("at the end: %v", err)
	}
}

func TestBodiesCutOrMalformed(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		chunked bool
		length  int64
		want    error // nil = an *Error
	}{
		"length cut":        {"ab", false, 3, io.ErrUnexpectedEOF},
		"chunk cut":         {"5\r\nab", true, -1, io.ErrUnexpectedEOF},
		"no last chunk":     {"2\r\nab\r\n", true, -1, io.ErrUnexpectedEOF},
		"trailer cut":       {"0\r\nX: y\r\n", true, -1, io.ErrUnexpectedEOF},
		"chunk too long":    {"2\r\nabc\r\n0\r\n\r\n", true, -1, nil},
		"size not hex":      {"g\r\n\r\n", true, -1, nil},
		"no size":           {"\r\n\r\n", true, -1, nil},
		"size over 63 bits": {"ffffffffffffffff1\r\nab\r\n", true, -1, nil},
		"chunk line LF":     {"2\nab\r\n0\r\n\r\n", true, -1, nil},
	} {
		var b Body
		b.Reset(reader(c.body), &Message{ContentLength: c.length, Chunked: c.chunked}, lim)
		_, err := ReadAll(&b, 100)
		var e *Error
		if c.want != nil && !errors.Is(err, c.want) || c.want == nil && !errors.As(err, &e) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var b Body
	b.Reset(reader("4\r\nabcd\r\n0\r\n\r\n"), &Message{ContentLength: -1, Chunked: true}, lim)
	var e *Error
	if _, err := ReadAll(&b, 3); !errors.As(err, &e) || e.Status != 413 {
		t.Errorf("over the limit: %v", err)
	}
}

func TestResponses(t *testing.T) {
	br := reader("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\nrest")
	var b Body
	for i, want := range []string{"ok", "rest"} {
		r, err := ReadResponse(br, lim)
		if err != nil || r.Status != 200 || r.Close != (i == 1) {
			t.Fatalf("%+v %v", r, err)
		}
		b.Reset(br, &r.Message, lim)
		if data, err := ReadAll(&b, 10); err != nil || string(data) != want {
			t.Fatalf("%q %v", data, err)
		}
	}
}

// script gives its pieces one a read and counts reads.
type script struct {
	pieces []string
	reads  int
}

func (s *script) Read(p []byte) (int, error) {
	s.reads++
	if len(s.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.pieces[0])
	s.pieces = s.pieces[1:]
	return n, nil
}

// A stream that waits must not be told that there is something because of what ends the last chunk: it would take a
// buffer and hold it for as long as it waits.
func TestWaitPassesOverTheEndOfAChunk(t *testing.T) {
	s := &script{pieces: []string{"2\r\nab\r\n", "2\r\ncd\r", "\n", "0\r\n\r\n"}}
	var b Body
	b.Reset(bufio.NewReader(s), &Message{ContentLength: -1, Chunked: true}, lim)
	p := make([]byte, 10)
	for i, want := range []string{"ab", "cd", ""} {
		b.WaitReadable()
		if reads := []int{1, 2, 4}[i]; s.reads != reads {
			t.Errorf("wait %d returned after %d reads, want %d", i, s.reads, reads)
		}
		n, err := b.Read(p)
		if string(p[:n]) != want || (err == io.EOF) != (want == "") {
			t.Fatalf("%q %v", p[:n], err)
		}
	}
	b.Reset(reader("2\r\nabX"), &Message{ContentLength: -1, Chunked: true}, lim)
	var e *Error
	if n, err := b.Read(p); n != 2 || err != nil {
		t.Fatal(n, err)
	}
	b.WaitReadable()
	if _, err := b.Read(p); !errors.As(err, &e) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a chunk longer than told: %v", err)
	}
}

// FuzzHeads: a head reads the same whether it is here as a whole or comes a byte at a time.
func FuzzHeads(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\n\r\n", "\n\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, err := ReadRequest(bufio.NewReaderSize(bytes.NewReader(data), 8192), lim)
		parts, perr := ReadRequest(bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(data)), 8192), lim)
		if (err == nil) != (perr == nil) || err != nil && err.Error() != perr.Error() || !reflect.DeepEqual(whole, parts) {
			t.Fatalf("%+v %v, by bytes %+v %v", whole, err, parts, perr)
		}
	})
}

// FuzzRequest: whatever this parser accepts, net/http accepts too and frames alike.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("GET /?a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		br := bufio.NewReaderSize(bytes.NewReader(data), 512)
		r, err := ReadRequest(br, lim)
		if err != nil || r.Method == "CONNECT" || r.Method == "PRI" {
			return
		}
		var b Body
		b.Reset(br, &r.Message, lim)
		mine, err := ReadAll(&b, 1<<20)
		if err != nil {
			return
		}
		peer, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return // net/http refuses more targets and host names; that is no disagreement on framing
		}
		theirs, err := io.ReadAll(peer.Body)
		if err == nil && !bytes.Equal(mine, theirs) {
			t.Fatalf("bodies differ: %q, net/http has %q", mine, theirs)
		}
	})
}
