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

var testLimits = Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 20}

func newReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 512) }

func TestReadRequestRejectsInvalidRequests(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		status int
	}{
		"two lengths":        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", 400},
		"length and chunked": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"bare LF":            {"GET / HTTP/1.1\nHost: a\r\n\r\n", 400},
		"bare CR":            {"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", 400},
		"folded":             {"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400},
		"space before colon": {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		"signed length":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n", 400},
		"list of lengths":    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n", 400},
		"empty length":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", 400},
		"gzip, chunked":      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"two codings": {
			"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400,
		},
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
		t.Run(name, func(t *testing.T) {
			_, err := ReadRequest(newReader(c.header), testLimits)
			var e *Error
			if !errors.As(err, &e) || e.Status != c.status {
				t.Errorf("%v, want status %d", err, c.status)
			}
		})
	}
}

func TestReadRequestPipelinedOneByteAtATime(t *testing.T) {
	messages := "\r\nPOST /v1/x?q=1 HTTP/1.1\r\nhost: a\r\nExpect: 100-Continue\r\nTransfer-Encoding: Chunked\r\n\r\n" +
		"3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	br := bufio.NewReader(iotest.OneByteReader(strings.NewReader(messages)))
	r, err := ReadRequest(br, testLimits)
	if err != nil || r.Path() != "/v1/x" || !r.ExpectContinue || !r.Chunked || r.Close || r.Header.Get("HOST") != "a" {
		t.Fatalf("%+v %v", r, err)
	}
	var b Body
	b.Reset(br, &r.Message, testLimits)
	if data, err := ReadAll(&b, 5); err != nil || string(data) != "abcde" || !b.AtEOF() {
		t.Fatalf("%q %v", data, err)
	}
	if r, err = ReadRequest(br, testLimits); err != nil || r.Target != "/next" || !r.Close || r.ContentLength != 0 {
		t.Fatalf("%+v %v", r, err)
	}
	if _, err = ReadRequest(br, testLimits); !errors.Is(err, io.EOF) {
		t.Fatalf("at the end: %v", err)
	}
}

func TestReadAllOfTruncatedOrMalformedBodies(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		chunked bool
		length  int64
		want    error // nil = an *Error
	}{
		"body shorter than its length": {"ab", false, 3, io.ErrUnexpectedEOF},
		"truncated chunk":              {"5\r\nab", true, -1, io.ErrUnexpectedEOF},
		"no last chunk":                {"2\r\nab\r\n", true, -1, io.ErrUnexpectedEOF},
		"truncated trailer section":    {"0\r\nX: y\r\n", true, -1, io.ErrUnexpectedEOF},
		"chunk too long":               {"2\r\nabc\r\n0\r\n\r\n", true, -1, nil},
		"size not hex":                 {"g\r\n\r\n", true, -1, nil},
		"no size":                      {"\r\n\r\n", true, -1, nil},
		"size over 63 bits":            {"ffffffffffffffff1\r\nab\r\n", true, -1, nil},
		"bare LF after a chunk size":   {"2\nab\r\n0\r\n\r\n", true, -1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var b Body
			b.Reset(newReader(c.body), &Message{ContentLength: c.length, Chunked: c.chunked}, testLimits)
			_, err := ReadAll(&b, 100)
			var e *Error
			if c.want != nil && !errors.Is(err, c.want) || c.want == nil && !errors.As(err, &e) {
				t.Error(err)
			}
		})
	}
}

func TestReadAllRejectsChunkedBodyOverLimit(t *testing.T) {
	var b Body
	b.Reset(newReader("4\r\nabcd\r\n0\r\n\r\n"), &Message{ContentLength: -1, Chunked: true}, testLimits)
	var e *Error
	if _, err := ReadAll(&b, 3); !errors.As(err, &e) || e.Status != 413 {
		t.Errorf("over the limit: %v", err)
	}
}

// TestChunkOverLimitIsRejectedByItsSize guards against readers that wait for a chunk that can't fit the body.
func TestChunkOverLimitIsRejectedByItsSize(t *testing.T) {
	var b Body
	b.Reset(newReader("4\r\nabcd\r\nc0000000\r\n"), &Message{ContentLength: -1, Chunked: true}, testLimits)
	b.SetLimit(100)
	var e *Error
	if data, err := io.ReadAll(&b); string(data) != "abcd" || !errors.As(err, &e) || e.Status != 413 {
		t.Errorf("%q: %v", data, err)
	}
}

func TestReadResponseSkipsInterimResponses(t *testing.T) {
	br := newReader("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" +
		"HTTP/1.1 200 OK\r\n\r\nrest")
	var b Body
	for i, want := range []string{"ok", "rest"} {
		r, err := ReadResponse(br, testLimits)
		if err != nil || r.Status != 200 || r.Close != (i == 1) {
			t.Fatalf("%+v %v", r, err)
		}
		b.Reset(br, &r.Message, testLimits)
		if data, err := ReadAll(&b, 10); err != nil || string(data) != want {
			t.Fatalf("%q %v", data, err)
		}
	}
}

// segmentReader returns one of its segments per read and counts the reads.
type segmentReader struct {
	segments []string
	reads    int
}

func (r *segmentReader) Read(p []byte) (int, error) {
	r.reads++
	if len(r.segments) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.segments[0])
	r.segments = r.segments[1:]
	return n, nil
}

// TestWaitReadableSkipsLineEndAfterChunk checks that the CRLF after a chunk's data does not end WaitReadable. Otherwise
// a stream would hold a buffer for as long as it waits for the next chunk.
func TestWaitReadableSkipsLineEndAfterChunk(t *testing.T) {
	source := &segmentReader{segments: []string{"2\r\nab\r\n", "2\r\ncd\r", "\n", "0\r\n\r\n"}}
	var b Body
	b.Reset(bufio.NewReader(source), &Message{ContentLength: -1, Chunked: true}, testLimits)
	p := make([]byte, 10)
	for i, c := range []struct {
		want  string // "" = the body's end
		reads int
	}{{"ab", 1}, {"cd", 2}, {"", 4}} {
		b.WaitReadable()
		if source.reads != c.reads {
			t.Errorf("wait %d returned after %d reads, want %d", i, source.reads, c.reads)
		}
		n, err := b.Read(p)
		if string(p[:n]) != c.want || errors.Is(err, io.EOF) != (c.want == "") {
			t.Fatalf("%q %v", p[:n], err)
		}
	}
}

func TestWaitReadableReportsOverlongChunk(t *testing.T) {
	var b Body
	p := make([]byte, 10)
	b.Reset(newReader("2\r\nabX"), &Message{ContentLength: -1, Chunked: true}, testLimits)
	if n, err := b.Read(p); n != 2 || err != nil {
		t.Fatal(n, err)
	}
	b.WaitReadable()
	var e *Error
	if _, err := b.Read(p); !errors.As(err, &e) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a chunk longer than its size: %v", err)
	}
}

// FuzzRequestHeaderBuffering checks that ReadRequest has the same result for a header that is completely buffered and
// for one that arrives byte by byte.
func FuzzRequestHeaderBuffering(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n\n\r\n", "\n\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		request, err := ReadRequest(bufio.NewReaderSize(bytes.NewReader(data), 8192), testLimits)
		bytewiseRequest, bytewiseErr := ReadRequest(
			bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(data)), 8192), testLimits)
		if (err == nil) != (bytewiseErr == nil) || err != nil && err.Error() != bytewiseErr.Error() ||
			!reflect.DeepEqual(request, bytewiseRequest) {
			t.Fatalf("%+v %v, by bytes %+v %v", request, err, bytewiseRequest, bytewiseErr)
		}
	})
}

// FuzzRequest checks that net/http reads the same body from every request that this parser accepts.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("GET /?a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		br := bufio.NewReaderSize(bytes.NewReader(data), 512)
		r, err := ReadRequest(br, testLimits)
		if err != nil || r.Method == "CONNECT" || r.Method == "PRI" {
			return
		}
		var b Body
		b.Reset(br, &r.Message, testLimits)
		got, err := ReadAll(&b, 1<<20)
		if err != nil {
			return
		}
		reference, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return // net/http rejects more targets and host names, which does not affect the framing
		}
		want, err := io.ReadAll(reference.Body)
		if err == nil && !bytes.Equal(got, want) {
			t.Fatalf("bodies differ: %q, net/http has %q", got, want)
		}
	})
}
