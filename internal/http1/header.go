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

// Field is one header field. The case of its name is as received.
type Field struct{ Name, Value string }

// Header holds header fields in the order received.
type Header []Field

// Get returns the value of the first field with the given name, or "" if there is none. The case of names is ignored.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// HasToken reports whether the comma-separated list in the fields with the given name contains token. Case is ignored.
func (h Header) HasToken(name, token string) bool {
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

// parseHeader parses the field lines of a header section.
func parseHeader(section string, maxFields int) (Header, error) {
	header := make(Header, 0, min(strings.Count(section, "\n"), maxFields))
	for section != "" {
		var line string
		line, section, _ = strings.Cut(section, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // rejects folded lines and space before the colon too
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

// hasControl reports whether a field value contains a control character other than a tab.
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

// HeaderBuffered reports whether br has buffered a complete header, so that reading it does not block.
func HeaderBuffered(br *bufio.Reader) bool {
	buffered, _ := br.Peek(br.Buffered()) // can't fail: all these bytes are buffered
	return bytes.Contains(buffered, headerEnd)
}

// readHeader reads a start line and header section, and returns them without the empty line that ends them. If the
// connection ends, it returns io.EOF before the first byte and io.ErrUnexpectedEOF within the header.
func readHeader(br *bufio.Reader, maxBytes int, skipEmptyLine bool) (string, error) {
	if header, ok := readBufferedHeader(br, maxBytes); ok {
		return header, nil
	}
	var buf []byte
	lineStart := 0
	for {
		segment, err := br.ReadSlice('\n')
		if len(buf)+len(segment) > maxBytes {
			return "", &Error{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head over %d bytes", maxBytes)}
		}
		buf = append(buf, segment...)
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

// readBufferedHeader reads a header that is completely buffered and has well-formed line ends, which is the usual case.
// In all other cases it consumes nothing, and readHeader reads the header line by line and finds any error.
func readBufferedHeader(br *bufio.Reader, maxBytes int) (header string, ok bool) {
	if br.Buffered() == 0 {
		if _, err := br.Peek(1); err != nil {
			return "", false // the next read returns the error
		}
	}
	buffered, _ := br.Peek(br.Buffered()) // can't fail: all these bytes are buffered
	end := bytes.Index(buffered, headerEnd)
	if end <= 0 || end+len(headerEnd) > maxBytes || buffered[0] == '\r' {
		return "", false
	}
	lines := buffered[:end+len(crlf)]
	if n := bytes.Count(lines, crlf); n != bytes.Count(lines, crlf[:1]) || n != bytes.Count(lines, crlf[1:]) {
		return "", false // a bare CR or LF
	}
	header = string(lines)
	_, _ = br.Discard(end + len(headerEnd)) // can't fail: all these bytes are buffered
	return header, true
}
