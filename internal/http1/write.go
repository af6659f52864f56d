package http1

import (
	"net/http"
	"strconv"
)

// LastChunk ends a chunked body without trailers.
const LastChunk = "0\r\n\r\n"

// AppendChunk appends p framed as one chunk. For an empty p it appends nothing, since an empty chunk ends the body.
func AppendChunk(dst, p []byte) []byte {
	if len(p) == 0 {
		return dst
	}
	dst = strconv.AppendInt(dst, int64(len(p)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, p...)
	return append(dst, "\r\n"...)
}

// AppendField appends one header field line. It does not check the value for control characters, so the value must come
// from this program or from a parsed field.
func AppendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendStatusLine appends the status line of a response.
func AppendStatusLine(dst []byte, code int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(code), 10)
	dst = append(dst, ' ')
	dst = append(dst, StatusText(code)...)
	return append(dst, "\r\n"...)
}

// StatusText returns the reason phrase of a status code that this program sends, and "Status" for all others. Unlike
// http.StatusText, it has the current phrase for 413 (RFC 9110).
func StatusText(code int) string {
	switch code {
	case http.StatusOK:
		return "OK"
	case http.StatusBadRequest:
		return "Bad Request"
	case http.StatusUnauthorized:
		return "Unauthorized"
	case http.StatusNotFound:
		return "Not Found"
	case http.StatusMethodNotAllowed:
		return "Method Not Allowed"
	case http.StatusRequestTimeout:
		return "Request Timeout"
	case http.StatusGone:
		return "Gone"
	case http.StatusRequestEntityTooLarge:
		return "Content Too Large"
	case http.StatusExpectationFailed:
		return "Expectation Failed"
	case http.StatusTooManyRequests:
		return "Too Many Requests"
	case http.StatusRequestHeaderFieldsTooLarge:
		return "Request Header Fields Too Large"
	case http.StatusInternalServerError:
		return "Internal Server Error"
	case http.StatusNotImplemented:
		return "Not Implemented"
	case http.StatusBadGateway:
		return "Bad Gateway"
	case http.StatusServiceUnavailable:
		return "Service Unavailable"
	case http.StatusGatewayTimeout:
		return "Gateway Timeout"
	case http.StatusHTTPVersionNotSupported:
		return "HTTP Version Not Supported"
	}
	return "Status"
}
