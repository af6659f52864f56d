package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"brackenbend/roles"
)

const (
	// maxResponseBytes bounds the size of a response body. An assignment table of 10,000 engines is below 4 MiB.
	maxResponseBytes = 16 << 20
	// maxErrorRunes bounds how much of a response body an error quotes.
	maxErrorRunes = 200
	// maxUpdateRetries is how often Update retries after a conflict. A conflict needs another write in the few
	// milliseconds between Update's read and write.
	maxUpdateRetries = 5
)

// errNotFound means that the API server stores nothing at the path.
var errNotFound = errors.New("not found")

// StatusError is a response with an unexpected status code.
type StatusError struct {
	Method, URL string
	Code        int
	Body        string // truncated
}

func (e *StatusError) Error() string {
	if e.Body == "" {
		return fmt.Sprintf("%s %s: unexpected status %d", e.Method, e.URL, e.Code)
	}
	return fmt.Sprintf("%s %s: unexpected status %d: %s", e.Method, e.URL, e.Code, e.Body)
}

// Client reads and writes the assignment table and the planner memory at the API server.
type Client struct {
	URL  string
	HTTP *http.Client
}

// View returns the stored assignment table and the listings of the engines.
func (c *Client) View(ctx context.Context) (v View, err error) {
	err = c.do(ctx, http.MethodGet, c.url(PathAssignments), nil, &v)
	return v, err
}

// Write replaces the stored table by one that was made from the version that it names, and returns the table as stored.
// The error is roles.ErrConflict if the stored table has another version.
func (c *Client) Write(ctx context.Context, table roles.Assignments) (stored roles.Assignments, err error) {
	err = c.do(ctx, http.MethodPut, c.url(PathAssignments), table, &stored)
	return stored, err
}

// Update reads the table, applies change to it and writes the result. It retries after a conflict, at most
// maxUpdateRetries times. Operators' commands use it.
func (c *Client) Update(
	ctx context.Context, change func(roles.Assignments) (roles.Assignments, error),
) (roles.Assignments, error) {
	for retries := 0; ; retries++ {
		view, err := c.View(ctx)
		if err != nil {
			return view.Assignments, err
		}
		changed, err := change(view.Assignments)
		if err != nil {
			return view.Assignments, err
		}
		stored, err := c.Write(ctx, changed)
		if !errors.Is(err, roles.ErrConflict) || retries == maxUpdateRetries {
			return stored, err
		}
	}
}

// LoadMemory returns the memory that a planner saved last. ok is false, without an error, if none has been saved.
func (c *Client) LoadMemory(ctx context.Context) (saved SavedMemory, ok bool, err error) {
	err = c.do(ctx, http.MethodGet, c.url(PathMemory), nil, &saved)
	if errors.Is(err, errNotFound) {
		return SavedMemory{}, false, nil
	}
	return saved, err == nil, err
}

// SaveMemory stores a memory for later planners.
func (c *Client) SaveMemory(ctx context.Context, saved SavedMemory) error {
	var stored struct{}
	return c.do(ctx, http.MethodPut, c.url(PathMemory), saved, &stored)
}

func (c *Client) url(path string) string { return strings.TrimSuffix(c.URL, "/") + path }

// do sends a request, with body encoded as JSON if it is not nil, and decodes the JSON response into result. It is also
// used for requests to engines.
func (c *Client) do(ctx context.Context, method, url string, body, result any) error {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s %s: read response: %w", method, url, err)
	}
	if err := checkStatus(method, url, resp.StatusCode, text); err != nil {
		return err
	}
	if err := json.Unmarshal(text, result); err != nil {
		return fmt.Errorf("%s %s: decode response: %w", method, url, err)
	}
	return nil
}

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%s %s: encode body: %w", method, url, err)
		}
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// checkStatus returns an error for a status code other than 200.
func checkStatus(method, url string, code int, body []byte) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return roles.ErrConflict
	case http.StatusNotFound:
		return fmt.Errorf("%s %s: %w", method, url, errNotFound)
	}
	quoted := fmt.Sprintf("%.*s", maxErrorRunes, bytes.TrimSpace(body))
	return &StatusError{Method: method, URL: url, Code: code, Body: quoted}
}

func closeBody(resp *http.Response) {
	_ = resp.Body.Close() // the part that is needed has been read
}
