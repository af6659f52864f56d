package http1

import (
	"net/http"
	"strconv"
	"strings"
)

// Message is the part that requests and responses have in common.
type Message struct {
	ProtoMinor    int // minor protocol version: HTTP/1.ProtoMinor
	Header        Header
	ContentLength int64 // body length; -1 = unknown (chunked, or until the connection closes)
	Chunked       bool
	Close         bool // the connection closes after this message
}

// parseVersion parses a protocol version such as HTTP/1.1 and returns its minor version.
func parseVersion(proto string) (minor int, err error) {
	switch proto {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if strings.HasPrefix(proto, "HTTP/") {
		return 0, &Error{http.StatusHTTPVersionNotSupported, "HTTP version not served"}
	}
	return 0, badMessage("malformed protocol version")
}

// setFraming sets the framing of the body (RFC 9112 6.3) and whether the connection persists, from the header.
func (m *Message) setFraming() error {
	m.ContentLength = -1
	for _, field := range m.Header {
		var err error
		switch {
		case strings.EqualFold(field.Name, "Content-Length"):
			err = m.setContentLength(field.Value)
		case strings.EqualFold(field.Name, "Transfer-Encoding"):
			err = m.setTransferEncoding(field.Value)
		}
		if err != nil {
			return err
		}
	}
	if m.Chunked && m.ContentLength >= 0 {
		return badMessage("Content-Length beside Transfer-Encoding")
	}
	if m.Chunked && m.ProtoMinor == 0 {
		return badMessage("Transfer-Encoding in HTTP/1.0")
	}
	m.Close = m.Header.HasToken("Connection", "close") ||
		m.ProtoMinor == 0 && !m.Header.HasToken("Connection", "keep-alive")
	return nil
}

func (m *Message) setContentLength(value string) error {
	if m.ContentLength >= 0 {
		return badMessage("more than one Content-Length")
	}
	n, err := strconv.ParseUint(value, 10, 62)
	if err != nil || value[0] == '+' {
		return badMessage("malformed Content-Length")
	}
	m.ContentLength = int64(n)
	return nil
}

func (m *Message) setTransferEncoding(value string) error {
	if m.Chunked {
		return badMessage("more than one Transfer-Encoding")
	}
	if !strings.EqualFold(value, "chunked") {
		return &Error{http.StatusNotImplemented, "transfer coding not served"}
	}
	m.Chunked = true
	return nil
}
