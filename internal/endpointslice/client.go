package endpointslice

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"
)

// Limits on the data read from the API server.
const (
	maxEventBytes = 8 << 20  // of one watch event
	maxPageBytes  = 64 << 20 // of one page of a list
	maxErrorBytes = 300      // of the body of an error response that is logged

	pageSize = 500 // slices per page of a list
)

// slicePage is one page of a list.
type slicePage struct {
	Metadata struct {
		ResourceVersion string `json:"resourceVersion"`
		Continue        string `json:"continue"`
	} `json:"metadata"`
	Items []*EndpointSlice `json:"items"`
}

// list fetches all pages of the list and returns the slices and the resource version of the list.
func (w *Watcher) list(ctx context.Context) ([]*EndpointSlice, string, error) {
	ctx, cancel := context.WithTimeout(ctx, w.WatchTimeout)
	defer cancel()
	var endpointSlices []*EndpointSlice
	continueToken := ""
	for {
		page, err := w.listPage(ctx, continueToken)
		if err != nil {
			return nil, "", err
		}
		for _, slice := range page.Items {
			if err := slice.validate(); err != nil {
				return nil, "", err
			}
			endpointSlices = append(endpointSlices, slice)
		}
		if continueToken = page.Metadata.Continue; continueToken != "" {
			continue
		}
		if page.Metadata.ResourceVersion == "" {
			return nil, "", errors.New("endpointslice: list response without a resourceVersion")
		}
		return endpointSlices, page.Metadata.ResourceVersion, nil
	}
}

func (w *Watcher) listPage(ctx context.Context, continueToken string) (*slicePage, error) {
	query := url.Values{"limit": {strconv.Itoa(pageSize)}}
	if continueToken != "" {
		query.Set("continue", continueToken)
	}
	resp, err := w.get(ctx, query)
	if err != nil {
		return nil, err
	}
	defer closeBody(resp)
	var page slicePage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&page); err != nil {
		return nil, fmt.Errorf("endpointslice: decode list response: %w", err)
	}
	return &page, nil
}

// watch applies events until the watch ends. A nil error means that the server closed the watch, which it may do at any
// time.
func (w *Watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(w.WatchTimeout, func() { cancel(errWatchTimeout) })
	defer idleTimer.Stop()
	resp, err := w.get(ctx, url.Values{
		"watch": {"1"}, "resourceVersion": {w.resourceVersion}, "allowWatchBookmarks": {"true"},
	})
	if err != nil {
		return err
	}
	defer closeBody(resp)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		event, err := parseEvent(lines.Bytes())
		if err != nil {
			return err
		}
		idleTimer.Reset(w.WatchTimeout) // only events extend the watch
		if err := w.applyEvent(event); err != nil {
			return err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return lines.Err()
}

// get requests the slices. Any status other than 200 is returned as an error.
func (w *Watcher) get(ctx context.Context, query url.Values) (*http.Response, error) {
	if w.Selector != "" {
		query.Set("labelSelector", w.Selector)
	}
	target := strings.TrimSuffix(w.URL, "/") + "/apis/discovery.k8s.io/v1/namespaces/" + url.PathEscape(w.Namespace) +
		"/endpointslices?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", "application/json")
	req.Header.Set("User-Agent", w.UserAgent)
	if w.TokenFile != "" {
		token, err := os.ReadFile(w.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("endpointslice: read token-file: %w", err)
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	resp, err := w.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer closeBody(resp)
	if resp.StatusCode == http.StatusGone {
		return nil, errExpired
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // a truncated body is enough for the log
	return nil, fmt.Errorf("endpointslice: API server returned status %d: %s", resp.StatusCode, bytes.TrimSpace(body))
}

// closeBody closes the body of a response that is no longer needed. The error is ignored, since the data was read or
// abandoned.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// watchEvent is one event of a watch. For a bookmark, only the resource version of slice is set.
type watchEvent struct {
	eventType string
	slice     *EndpointSlice
}

// parseEvent parses one line of a watch response. It returns an ERROR event as an error.
func parseEvent(line []byte) (*watchEvent, error) {
	var event struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(line, &event); err != nil {
		return nil, fmt.Errorf("endpointslice: watch event: %w", err)
	}
	switch event.Type {
	case eventError:
		return nil, parseStatus(event.Object)
	case eventAdded, eventModified, eventDeleted, eventBookmark:
	default:
		return nil, fmt.Errorf("endpointslice: unknown type %.40q of a watch event", event.Type)
	}
	var slice EndpointSlice
	if err := json.Unmarshal(event.Object, &slice); err != nil {
		return nil, fmt.Errorf("endpointslice: watch event: %w", err)
	}
	if slice.Metadata.ResourceVersion == "" {
		return nil, errors.New("endpointslice: watch event without a resourceVersion")
	}
	return &watchEvent{event.Type, &slice}, nil
}

// parseStatus converts the Status object of an ERROR event to an error.
func parseStatus(object []byte) error {
	var status struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
	if json.Unmarshal(object, &status) == nil && status.Code == http.StatusGone {
		return errExpired
	}
	return fmt.Errorf("endpointslice: watch failed with status %d: %s", status.Code, status.Message)
}
