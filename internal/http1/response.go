package http1

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// MaxInterimResponses is the maximum number of headers that are read for one response, including interim (1xx) ones.
const MaxInterimResponses = 8

// Response is a parsed status line and header.
type Response struct {
	Message
	Status int
}

// ReadResponse reads the status line and header of the next final response. It skips interim (1xx) responses.
func ReadResponse(br *bufio.Reader, limits Limits) (*Response, error) {
	for range MaxInterimResponses {
		if r, err := ReadResponseHeader(br, limits); err != nil || r.Status >= http.StatusOK {
			return r, err
		}
	}
	return nil, badMessage("too many interim responses")
}

// ReadResponseHeader reads one status line and header. They may belong to an interim response.
func ReadResponseHeader(br *bufio.Reader, limits Limits) (*Response, error) {
	header, err := readHeader(br, limits.MaxHeaderBytes, false)
	if err != nil {
		return nil, err
	}
	line, fields, _ := strings.Cut(header, "\r\n")
	r := &Response{}
	if err := r.parseStatusLine(line); err != nil {
		return nil, err
	}
	if r.Header, err = parseHeader(fields, limits.MaxHeaderFields); err != nil {
		return nil, err
	}
	if r.Status == http.StatusSwitchingProtocols {
		return nil, badMessage("unrequested protocol switch")
	}
	if r.Status < http.StatusOK {
		return r, nil
	}
	if err := r.setFraming(); err != nil {
		return nil, err
	}
	if r.Status == http.StatusNoContent || r.Status == http.StatusNotModified {
		r.ContentLength, r.Chunked = 0, false
	}
	if r.ContentLength < 0 && !r.Chunked {
		r.Close = true // the body extends to the end of the connection
	}
	return r, nil
}

func (r *Response) parseStatusLine(line string) error {
	proto, line, ok := strings.Cut(line, " ")
	code, _, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 || status > 599 {
		return badMessage("malformed status line")
	}
	r.Status = status
	r.ProtoMinor, err = parseVersion(proto)
	return err
}
