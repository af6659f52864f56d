package planner_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// TestClientReturnsTypedErrors checks that errors.Is and errors.As distinguish the status codes that callers handle.
func TestClientReturnsTypedErrors(t *testing.T) {
	for name, c := range map[string]struct {
		code  int
		check func(error) bool
	}{
		"conflict": {http.StatusConflict, func(err error) bool { return errors.Is(err, roles.ErrConflict) }},
		"unavailable": {http.StatusServiceUnavailable, func(err error) bool {
			var status *planner.StatusError
			return errors.As(err, &status) && status.Code == http.StatusServiceUnavailable && status.Body == "cut off"
		}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "cut off", c.code)
			}))
			defer server.Close()
			client := planner.Client{URL: server.URL, HTTP: server.Client()}
			if _, err := client.View(t.Context()); !c.check(err) {
				t.Errorf("unexpected error %v", err)
			}
		})
	}
}
