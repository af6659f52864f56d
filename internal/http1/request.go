package http1

import (
	"bufio"
	"net/http"
	"strings"
)

// Request is a parsed request line and header.
type Request struct {
	Message
	Method, Target string
	ExpectContinue bool // the client waits for 100 Continue before it sends the body
}

// Path returns the request target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// ReadRequest reads one request line and header. It returns io.EOF if the connection ends before the first byte.
func ReadRequest(br *bufio.Reader, limits Limits) (*Request, error) {
	header, err := readHeader(br, limits.MaxHeaderBytes, true)
	if err != nil {
		return nil, err
	}
	line, fields, _ := strings.Cut(header, "\r\n")
	r := &Request{}
	if err := r.parseRequestLine(line); err != nil {
		return nil, err
	}
	if r.Header, err = parseHeader(fields, limits.MaxHeaderFields); err != nil {
		return nil, err
	}
	if err := r.checkHost(); err != nil {
		return nil, err
	}
	if err := r.setFraming(); err != nil {
		return nil, err
	}
	if !r.Chunked && r.ContentLength < 0 {
		r.ContentLength = 0 // the body of a request never extends to the end of the connection
	}
	if err := r.setExpectContinue(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Request) parseRequestLine(line string) error {
	method, line, hasTarget := strings.Cut(line, " ")
	target, proto, hasProto := strings.Cut(line, " ")
	if !hasTarget || !hasProto || !isToken(method) || !isTarget(target) {
		return badMessage("malformed request line")
	}
	minor, err := parseVersion(proto)
	if err != nil {
		return err
	}
	r.Method, r.Target, r.ProtoMinor = method, target, minor
	return nil
}

func isTarget(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 127 })
}

// checkHost returns an error unless there is exactly one Host field, or none in HTTP/1.0.
func (r *Request) checkHost() error {
	hosts := 0
	for _, field := range r.Header {
		if strings.EqualFold(field.Name, "Host") {
			hosts++
		}
	}
	if hosts > 1 || hosts == 0 && r.ProtoMinor == 1 {
		return badMessage("%d Host fields, one is required", hosts)
	}
	return nil
}

func (r *Request) setExpectContinue() error {
	expect := r.Header.Get("Expect")
	if expect == "" {
		return nil
	}
	if !strings.EqualFold(expect, "100-continue") {
		return &Error{http.StatusExpectationFailed, "unknown expectation"}
	}
	r.ExpectContinue = r.ProtoMinor == 1 && (r.Chunked || r.ContentLength > 0)
	return nil
}
