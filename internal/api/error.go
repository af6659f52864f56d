package api

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Types of errors in the OpenAI API.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// Codes of errors in the OpenAI API.
const (
	codeModelNotFound = "model_not_found"
	codeInvalidAPIKey = "invalid_api_key"
)

// Error is an error of the API, with the HTTP status of its response.
type Error struct {
	Status  int
	Type    string // TypeInvalidRequest, TypeRateLimit or TypeServer
	Code    string // may be empty
	Param   string // path of the invalid field in the body; may be empty
	Message string
}

func (e *Error) Error() string { return fmt.Sprintf("api: %d %s: %s", e.Status, e.Type, e.Message) }

// JSON returns the response body: an error object of the API.
func (e *Error) JSON() []byte {
	type object struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    *string `json:"code"`
	}
	return mustMarshal(struct {
		Error object `json:"error"`
	}{object{e.Message, e.Type, nilIfEmpty(e.Param), nilIfEmpty(e.Code)}})
}

func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// mustMarshal encodes values that contain only strings and numbers, for which encoding can't fail.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// invalidRequest returns the error for an invalid request. param is the path of the invalid field, or empty.
func invalidRequest(param, format string, a ...any) *Error {
	return &Error{
		Status: http.StatusBadRequest, Type: TypeInvalidRequest, Param: param, Message: fmt.Sprintf(format, a...),
	}
}

func modelNotFound(name string) *Error {
	return &Error{
		Status: http.StatusNotFound, Type: TypeInvalidRequest, Param: "model", Code: codeModelNotFound,
		Message: "the model " + quote(name) + " is not served here",
	}
}
