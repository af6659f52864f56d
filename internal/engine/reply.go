package engine

import (
	"errors"
	"net/http"
	"os"
	"time"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// readResponseHeader reads the header of the final response and skips interim ones. The first byte of each header must
// arrive by deadline, and the rest of it within HeaderTimeout of that byte.
func (c *Client) readResponseHeader(pc *persistConn, deadline time.Time) (*http1.Response, error) {
	if c.HeaderTimeout == 0 {
		return http1.ReadResponse(pc.br, c.Limits)
	}
	for i := range http1.MaxInterimResponses {
		resp, err := c.readOneHeader(pc, deadline)
		if err != nil {
			return nil, err
		}
		if resp.Status >= http.StatusOK {
			if i > 0 {
				resp.Close = true // interim responses were not requested, so later data on the connection can't be trusted
			}
			return resp, nil
		}
		if err := pc.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
	}
	return nil, &http1.Error{Status: http.StatusBadGateway, Reason: "too many interim responses"}
}

// readOneHeader reads the next response header, which may be that of an interim response.
func (c *Client) readOneHeader(pc *persistConn, deadline time.Time) (*http1.Response, error) {
	if _, err := pc.br.Peek(1); err != nil {
		return nil, err
	}
	if !http1.HeaderBuffered(pc.br) {
		if err := pc.SetReadDeadline(earlierDeadline(c.HeaderTimeout, deadline)); err != nil {
			return nil, err
		}
	}
	resp, err := http1.ReadResponseHeader(pc.br, c.Limits)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &http1.Error{Status: http.StatusBadGateway, Reason: "response header is not complete in time"}
	}
	return resp, err
}

// readReply reads a response that is not a stream, and returns the connection to the pool or closes it.
func (c *Client) readReply(a *Attempt, e *Endpoint, pc *persistConn, resp *http1.Response, prefill bool) Outcome {
	var body http1.Body
	body.Reset(pc.br, &resp.Message, c.Limits)
	content, err := http1.ReadAll(&body, c.MaxReplyBytes)
	connOpen := a.detachConn()
	c.putConn(e, pc, connOpen && err == nil && body.AtEOF() && !resp.Close)
	if resp.Status < http.StatusMultipleChoices && (err != nil || !connOpen) {
		return a.failureOutcome(err)
	}
	out := c.Protocol.ParseReply(prefill, resp, content, err)
	if out.Result == routing.EngineError && !a.delivery.mayHaveRun {
		out.Result = routing.RequestIncomplete // the engine has not received the whole request
	}
	out.LoadReport = c.loadMetrics(resp.Header.Get(c.LoadReportHeader))
	return out
}
