// Package http1 parses HTTP/1.1 messages (RFC 9112) from a bufio.Reader: request heads for a server, response
// heads for a client, and bodies of both. It knows nothing of what the messages mean and opens no sockets.
//
// It is stricter than the RFC asks wherever leniency lets two parsers disagree on where a message ends: bare
// LF, folded fields, space before a colon, more than one Content-Length, and Content-Length beside
// Transfer-Encoding are all errors.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits bound what one message may take of memory. All are required.
type Limits struct {
	MaxHeaderBytes  int // bytes of a head with its start line, and of a trailer section
	MaxHeaderFields int // header fields
}

// Error is a message that breaks the protocol or a limit; Status is the answer a server owes for it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

func bad(format string, a ...any) error { return &Error{400, fmt.Sprintf(format, a...)} }

// Field is one header field; the name is as received.
type Field struct{ Name, Value string }

// Header holds fields in the order received.
type Header []Field

// Get returns the first value of a field, "" when absent; names compare without regard to case.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Has tells whether a comma-separated field holds the token, in any of its lines.
func (h Header) Has(name, token string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for v := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(v), token) {
				return true
			}
		}
	}
	return false
}

// Message is what requests and responses share.
type Message struct {
	Minor         int // HTTP/1.Minor
	Header        Header
	ContentLength int64 // of the body; -1 = not told (chunked, or until close)
	Chunked       bool
	Close         bool // the connection ends after this message
}

// Request is a parsed request head.
type Request struct {
	Message
	Method, Target string
	ExpectContinue bool // 100-continue is waited for
}

// Path is the target without its query.
func (r *Request) Path() string {
	p, _, _ := strings.Cut(r.Target, "?")
	return p
}

// Response is a parsed response head.
type Response struct {
	Message
	Status int
}

// readHead takes lines up to the empty one and returns them without it. io.EOF means that nothing came at
// all; a head cut in the middle is io.ErrUnexpectedEOF.
func readHead(br *bufio.Reader, limit int, skipEmpty bool) (string, error) {
	if head, ok := buffered(br, limit); ok {
		return head, nil
	}
	var buf []byte
	start := 0
	for {
		part, err := br.ReadSlice('\n')
		if len(buf)+len(part) > limit {
			return "", &Error{431, fmt.Sprintf("head over %d bytes", limit)}
		}
		buf = append(buf, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		line := buf[start:]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return "", bad("line ends in a bare LF")
		}
		if len(line) == 2 {
			if start == 0 && skipEmpty { // RFC 9112 2.2: one empty line before a request is passed over
				buf, skipEmpty = buf[:0], false
				continue
			}
			return string(buf[:start]), nil
		}
		if bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
			return "", bad("bare CR in a line")
		}
		start = len(buf)
	}
}

var headEnd = []byte("\r\n\r\n")

// HeaderBuffered tells that a whole head is in br, so that reading it waits for nothing.
func HeaderBuffered(br *bufio.Reader) bool {
	p, _ := br.Peek(br.Buffered())
	return bytes.Contains(p, headEnd)
}

// buffered takes a head that is in br as a whole and has nothing amiss, the usual case; all others are left to the
// reading by lines.
func buffered(br *bufio.Reader, limit int) (head string, ok bool) {
	if br.Buffered() == 0 {
		if _, err := br.Peek(1); err != nil {
			return "", false
		}
	}
	p, _ := br.Peek(br.Buffered())
	i := bytes.Index(p, headEnd)
	if i <= 0 || i+4 > limit || p[0] == '\r' {
		return "", false
	}
	p = p[:i+2]
	if n := bytes.Count(p, headEnd[:2]); n != bytes.Count(p, headEnd[:1]) || n != bytes.Count(p, headEnd[1:2]) {
		return "", false // a bare CR or LF
	}
	head = string(p)
	_, _ = br.Discard(i + 4)
	return head, true
}

// ReadRequest reads one request head. io.EOF: the connection ended between messages.
func ReadRequest(br *bufio.Reader, lim Limits) (*Request, error) {
	head, err := readHead(br, lim.MaxHeaderBytes, true)
	if err != nil {
		return nil, err
	}
	line, rest, _ := strings.Cut(head, "\r\n")
	method, line, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(line, " ")
	if !ok1 || !ok2 || !token(method) || target == "" || strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c == 127 }) {
		return nil, bad("malformed request line")
	}
	r := &Request{Method: method, Target: target}
	if r.Minor, err = version(proto); err != nil {
		return nil, err
	}
	if err := r.fields(rest, lim.MaxHeaderFields); err != nil {
		return nil, err
	}
	hosts := 0
	for _, f := range r.Header {
		if strings.EqualFold(f.Name, "Host") {
			hosts++
		}
	}
	if hosts > 1 || hosts == 0 && r.Minor == 1 {
		return nil, bad("%d Host fields, one is required", hosts)
	}
	if err := r.frame(); err != nil {
		return nil, err
	}
	if !r.Chunked && r.ContentLength < 0 {
		r.ContentLength = 0
	}
	if e := r.Header.Get("Expect"); e != "" {
		if !strings.EqualFold(e, "100-continue") {
			return nil, &Error{417, "unknown expectation"}
		}
		r.ExpectContinue = r.Minor == 1 && (r.Chunked || r.ContentLength > 0)
	}
	return r, nil
}

// MaxInterimResponses is how many heads are read for one response, interim (1xx) ones included.
const MaxInterimResponses = 8

// ReadResponse reads one response head, passing over interim ones.
func ReadResponse(br *bufio.Reader, lim Limits) (*Response, error) {
	for range MaxInterimResponses {
		if r, err := ReadResponseHeader(br, lim); err != nil || r.Status >= 200 {
			return r, err
		}
	}
	return nil, bad("too many interim responses")
}

// ReadResponseHeader reads one response head, which may be interim.
func ReadResponseHeader(br *bufio.Reader, lim Limits) (*Response, error) {
	head, err := readHead(br, lim.MaxHeaderBytes, false)
	if err != nil {
		return nil, err
	}
	line, rest, _ := strings.Cut(head, "\r\n")
	proto, line, ok := strings.Cut(line, " ")
	code, _, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 || status > 599 {
		return nil, bad("malformed status line")
	}
	r := &Response{Status: status}
	if r.Minor, err = version(proto); err != nil {
		return nil, err
	}
	if err := r.fields(rest, lim.MaxHeaderFields); err != nil {
		return nil, err
	}
	if status == 101 {
		return nil, bad("protocol switch that nobody asked for")
	}
	if status < 200 {
		return r, nil
	}
	if err := r.frame(); err != nil {
		return nil, err
	}
	if status == 204 || status == 304 {
		r.ContentLength, r.Chunked = 0, false
	}
	if r.ContentLength < 0 && !r.Chunked {
		r.Close = true // the body runs until the connection ends
	}
	return r, nil
}

func version(proto string) (int, error) {
	switch proto {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if strings.HasPrefix(proto, "HTTP/") {
		return 0, &Error{505, "HTTP version not served"}
	}
	return 0, bad("malformed protocol version")
}

// fields parses header lines.
func (m *Message) fields(s string, most int) error {
	m.Header = make(Header, 0, min(strings.Count(s, "\n"), most))
	for s != "" {
		var line string
		line, s, _ = strings.Cut(s, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) { // also folded lines and space before the colon
			return bad("malformed header field")
		}
		value = strings.Trim(value, " \t")
		for i := range len(value) {
			if c := value[i]; c < ' ' && c != '\t' || c == 127 {
				return bad("control character in field %s", name)
			}
		}
		if len(m.Header) == most {
			return &Error{431, fmt.Sprintf("over %d header fields", most)}
		}
		m.Header = append(m.Header, Field{name, value})
	}
	return nil
}

// frame settles where the body ends (RFC 9112 6.3) and whether the connection stays.
func (m *Message) frame() error {
	m.ContentLength = -1
	te := ""
	for _, f := range m.Header {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			if m.ContentLength >= 0 {
				return bad("more than one Content-Length")
			}
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil || f.Value[0] == '+' {
				return bad("malformed Content-Length")
			}
			m.ContentLength = int64(n)
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if te != "" {
				return bad("more than one Transfer-Encoding")
			}
			te = f.Value
			if !strings.EqualFold(te, "chunked") {
				return &Error{501, "transfer coding not served"}
			}
		}
	}
	if te != "" {
		if m.ContentLength >= 0 {
			return bad("Content-Length beside Transfer-Encoding")
		}
		if m.Minor == 0 {
			return bad("Transfer-Encoding in HTTP/1.0")
		}
		m.Chunked = true
	}
	m.Close = m.Header.Has("Connection", "close") || m.Minor == 0 && !m.Header.Has("Connection", "keep-alive")
	return nil
}

// token tells whether s is a token (RFC 9110 5.6.2).
func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' {
			continue
		}
		if strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// Body reads a message's body. Read returns io.EOF only at its true end, io.ErrUnexpectedEOF when the
// connection ended before, *Error when its framing is broken.
type Body struct {
	br      *bufio.Reader
	left    int64 // of the body or of the present chunk; -1 = until close
	chunked bool
	first   bool // no chunk came yet, or the end of the last one was taken already
	done    bool
	limit   int
	err     error // met while waiting, for the next Read
}

// Reset sets b to the body of m, which follows in br.
func (b *Body) Reset(br *bufio.Reader, m *Message, lim Limits) {
	*b = Body{br: br, left: m.ContentLength, chunked: m.Chunked, first: true, limit: lim.MaxHeaderBytes}
	if b.chunked {
		b.left = 0
	}
	b.done = !b.chunked && b.left == 0
}

// AtEOF tells that the body's end was read; only then may the connection serve another message.
func (b *Body) AtEOF() bool { return b.done }

// Read implements io.Reader. It returns what is buffered rather than wait for p to fill.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.chunked && b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	if b.left >= 0 && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	switch {
	case err == io.EOF && b.left < 0:
		b.done = true
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	case err == nil && b.left == 0 && !b.chunked:
		b.done = true
	}
	return n, err
}

// WaitReadable returns when the connection has something for the body, or failed; Read tells which. The end of the chunk
// that was read last is no such thing.
func (b *Body) WaitReadable() {
	if b.done || b.err != nil {
		return
	}
	if b.chunked && b.left == 0 {
		if b.err = b.endChunk(); b.err != nil {
			return
		}
	}
	_, _ = b.br.Peek(1)
}

// Buffered tells that a Read will return without waiting for the connection.
func (b *Body) Buffered() bool {
	n := b.br.Buffered()
	if b.done || !b.chunked || b.left > 0 || n == 0 {
		return b.done || n > 0
	}
	p, _ := b.br.Peek(n)
	if !b.first {
		p = p[min(2, n):] // the end of the last chunk
	}
	i := bytes.IndexByte(p, '\n')
	return i >= 0 && i+1 < len(p)
}

// endChunk takes the line end behind a chunk's data, once.
func (b *Body) endChunk() error {
	if b.first {
		return nil
	}
	line, err := b.line()
	if err != nil {
		return err
	}
	if len(line) != 0 {
		return bad("chunk longer than told")
	}
	b.first = true
	return nil
}

func (b *Body) nextChunk() error {
	if err := b.endChunk(); err != nil {
		return err
	}
	b.first = false
	line, err := b.line()
	if err != nil {
		return err
	}
	size, digits := int64(0), 0
	for digits < len(line) {
		d := unhex(line[digits])
		if d < 0 {
			break
		}
		if digits++; digits > 15 {
			return bad("chunk size too large")
		}
		size = size<<4 | int64(d)
	}
	if rest := line[digits:]; digits == 0 || len(rest) > 0 && rest[0] != ';' && rest[0] != ' ' && rest[0] != '\t' {
		return bad("malformed chunk size")
	}
	if b.left = size; size > 0 {
		return nil
	}
	for used := 0; ; { // trailer section: bounded, passed over
		line, err := b.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.done = true
			return nil
		}
		if used += len(line); used > b.limit {
			return &Error{431, "trailer section too large"}
		}
	}
}

// line reads one line without its CRLF; it is valid until the next read.
func (b *Body) line() ([]byte, error) {
	line, err := b.br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, bad("chunk line too long")
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case len(line) < 2 || line[len(line)-2] != '\r':
		return nil, bad("chunk line ends in a bare LF")
	}
	if line = line[:len(line)-2]; bytes.IndexByte(line, '\r') >= 0 {
		return nil, bad("bare CR in a chunk line")
	}
	return line, nil
}

func unhex(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// exact is up to which length memory is taken before the bytes are here.
const exact = 64 << 10

// ReadAll reads a body of at most limit bytes; more is an *Error with status 413.
func ReadAll(b *Body, limit int64) ([]byte, error) {
	if !b.chunked && b.left > limit {
		return nil, &Error{413, fmt.Sprintf("body over %d bytes", limit)}
	}
	if n := b.left; !b.chunked && n >= 0 && n <= exact {
		data := make([]byte, n)
		_, err := io.ReadFull(b, data)
		if err == io.EOF && n > 0 {
			err = io.ErrUnexpectedEOF
		}
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(b, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = &Error{413, fmt.Sprintf("body over %d bytes", limit)}
	}
	return data, err
}

// AppendChunk appends p framed as one chunk; an empty p appends nothing, since that would end the body.
func AppendChunk(dst, p []byte) []byte {
	if len(p) == 0 {
		return dst
	}
	dst = strconv.AppendInt(dst, int64(len(p)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, p...)
	return append(dst, "\r\n"...)
}

// LastChunk ends a chunked body without trailers.
const LastChunk = "0\r\n\r\n"

// AppendField appends one header line. The value must come from this program or from a parsed field.
func AppendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// StatusText is the reason phrase of the codes this program sends.
func StatusText(code int) string {
	switch code {
	case 200:
		return "OK"
	case 400:
		return "Bad Request"
	case 401:
		return "Unauthorized"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 410:
		return "Gone"
	case 413:
		return "Content Too Large"
	case 417:
		return "Expectation Failed"
	case 429:
		return "Too Many Requests"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	}
	return "Status"
}

// AppendStatusLine appends a response's status line.
func AppendStatusLine(dst []byte, code int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(code), 10)
	dst = append(dst, ' ')
	dst = append(dst, StatusText(code)...)
	return append(dst, "\r\n"...)
}
