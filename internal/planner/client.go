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
	// maxResponseBytes bounds what is read of any response: a table of 10,000 engines is below 4 MiB.
	maxResponseBytes = 16 << 20
	// maxErrorRunes bounds what an error quotes of a response.
	maxErrorRunes = 200
	// maxUpdateRetries is how often Update starts again after a conflict. Conflicts need another writer in the few
	// milliseconds between read and write.
	maxUpdateRetries = 5
)

// errNotFound means that the API server keeps nothing at the path.
var errNotFound = errors.New("not found")

// StatusError is a response with an unexpected status code.
type StatusError struct {
	Method, URL string
	Code        int
	Body        string // its beginning
}

func (e *StatusError) Error() string {
	if e.Body == "" {
		return fmt.Sprintf("%s %s: answered %d", e.Method, e.URL, e.Code)
	}
	return fmt.Sprintf("%s %s: answered %d: %s", e.Method, e.URL, e.Code, e.Body)
}

// Client is a client of the API server's assignment table.
type Client struct {
	URL  string
	HTTP *http.Client
}

// View reads the assignment table.
func (c *Client) View(ctx context.Context) (v View, err error) {
	err = c.do(ctx, http.MethodGet, c.url(PathAssignments), nil, &v)
	return v, err
}

// Write writes a table made from the version that it names and returns what the API server stored; the error is
// roles.ErrConflict if the stored version is another.
func (c *Client) Write(ctx context.Context, table roles.Assignments) (stored roles.Assignments, err error) {
	err = c.do(ctx, http.MethodPut, c.url(PathAssignments), table, &stored)
	return stored, err
}

// Update reads the table, lets change make another of it and writes that. After a conflict it starts again, a few
// times. It is what operators' commands use.
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

// LoadMemory returns what a planner last saved. ok is false, without an error, if none has.
func (c *Client) LoadMemory(ctx context.Context) (saved SavedMemory, ok bool, err error) {
	err = c.do(ctx, http.MethodGet, c.url(PathMemory), nil, &saved)
	if errors.Is(err, errNotFound) {
		return SavedMemory{}, false, nil
	}
	return saved, err == nil, err
}

// SaveMemory saves a memory for later planners.
func (c *Client) SaveMemory(ctx context.Context, saved SavedMemory) error {
	var stored struct{}
	return c.do(ctx, http.MethodPut, c.url(PathMemory), saved, &stored)
}

func (c *Client) url(path string) string { return strings.TrimSuffix(c.URL, "/") + path }

// do sends a request with a JSON body, if body is not nil, and decodes the JSON response into result. Engines are
// asked with it as well.
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

// checkStatus turns a status code other than 200 into an error.
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
	_ = resp.Body.Close() // all that is wanted of it has been read
}
