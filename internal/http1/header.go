package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Field is one header field; the name is as received.
type Field struct{ Name, Value string }

// Header holds fields in the order received.
type Header []Field

// Get returns the first value of a field, "" when absent. Names compare without regard to case.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Has reports whether a comma-separated field holds the token, in any of its lines.
func (h Header) Has(name, token string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for value := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(value), token) {
				return true
			}
		}
	}
	return false
}

// parseHeader parses the lines of a header section.
func parseHeader(section string, maxFields int) (Header, error) {
	header := make(Header, 0, min(strings.Count(section, "\n"), maxFields))
	for section != "" {
		var line string
		line, section, _ = strings.Cut(section, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // also folded lines and space before the colon
			return nil, badMessage("malformed header field")
		}
		value = strings.Trim(value, " \t")
		if hasControl(value) {
			return nil, badMessage("control character in field %s", name)
		}
		if len(header) == maxFields {
			return nil, &Error{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("over %d header fields", maxFields)}
		}
		header = append(header, Field{name, value})
	}
	return header, nil
}

// hasControl reports whether a field value holds a control character other than a tab.
func hasControl(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 127 {
			return true
		}
	}
	return false
}

// isToken reports whether s is a token (RFC 9110 5.6.2).
func isToken(s string) bool {
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

var (
	crlf      = []byte("\r\n")
	headerEnd = []byte("\r\n\r\n")
)

// HeaderBuffered reports whether a complete header is in br, so that reading it does not block.
func HeaderBuffered(br *bufio.Reader) bool {
	buffered, _ := br.Peek(br.Buffered()) // never reads, so it can't fail
	return bytes.Contains(buffered, headerEnd)
}

// readHeader reads the start line and the header section up to the empty line and returns them without it. It
// returns io.EOF when nothing came at all, and io.ErrUnexpectedEOF for a header that was cut short.
func readHeader(br *bufio.Reader, maxBytes int, skipEmptyLine bool) (string, error) {
	if header, ok := readBufferedHeader(br, maxBytes); ok {
		return header, nil
	}
	var buf []byte
	lineStart := 0
	for {
		part, err := br.ReadSlice('\n')
		if len(buf)+len(part) > maxBytes {
			return "", &Error{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head over %d bytes", maxBytes)}
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
		line := buf[lineStart:]
		if err := checkLineEnd(line); err != nil {
			return "", err
		}
		if len(line) > len(crlf) {
			lineStart = len(buf)
			continue
		}
		if lineStart > 0 || !skipEmptyLine {
			return string(buf[:lineStart]), nil
		}
		buf, skipEmptyLine = buf[:0], false // RFC 9112 2.2: one empty line before a request is skipped
	}
}

// checkLineEnd reports an error unless line, which ends in LF, ends in CRLF and has no other CR.
func checkLineEnd(line []byte) error {
	content, ok := bytes.CutSuffix(line, crlf)
	if !ok {
		return badMessage("line ends in a bare LF")
	}
	if bytes.IndexByte(content, '\r') >= 0 {
		return badMessage("bare CR in a line")
	}
	return nil
}

// readBufferedHeader takes a header that is in br as a whole and well formed, the usual case. All others are left to
// the line by line reading of readHeader, which finds the error.
func readBufferedHeader(br *bufio.Reader, maxBytes int) (header string, ok bool) {
	if br.Buffered() == 0 {
		if _, err := br.Peek(1); err != nil {
			return "", false // the next read reports it
		}
	}
	buffered, _ := br.Peek(br.Buffered()) // never reads, so it can't fail
	end := bytes.Index(buffered, headerEnd)
	if end <= 0 || end+len(headerEnd) > maxBytes || buffered[0] == '\r' {
		return "", false
	}
	lines := buffered[:end+len(crlf)]
	if n := bytes.Count(lines, crlf); n != bytes.Count(lines, crlf[:1]) || n != bytes.Count(lines, crlf[1:]) {
		return "", false // a bare CR or LF
	}
	header = string(lines)
	_, _ = br.Discard(end + len(headerEnd)) // all of it is buffered, so it can't fail
	return header, true
}
