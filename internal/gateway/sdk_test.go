package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	fakeengine "brackenbend/internal/fake/engine"
)

// The tests in this file use the published OpenAI SDK as an independent client for requests, streams, errors and
// retries.

// newSDK makes an SDK client for the gateway, or for a proxy to it, at address.
func newSDK(address string, extraOptions ...option.RequestOption) openai.Client {
	return openai.NewClient(append([]option.RequestOption{
		option.WithBaseURL("http://" + address + "/v1"), option.WithAPIKey("k"),
	}, extraOptions...)...)
}

// countRequests counts the requests that an SDK client sends, including its automatic retries.
func countRequests(count *int) option.RequestOption {
	return option.WithMiddleware(func(req *http.Request, next option.MiddlewareNext) (*http.Response, error) {
		*count++
		return next(req)
	})
}

func TestSDKRequestsStreamsAndErrors(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	sdk := newSDK(tg.address, option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "m", MaxCompletionTokens: openai.Int(4),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("You help."), openai.UserMessage("hello"),
		},
	}
	chatCompletion, err := sdk.Chat.Completions.New(t.Context(), params)
	if err != nil || chatCompletion.Choices[0].Message.Content != "w0 w1 w2 w3 " ||
		chatCompletion.Usage.CompletionTokens != 4 ||
		chatCompletion.Choices[0].FinishReason != "length" {
		t.Fatalf("%+v %v", chatCompletion, err)
	}

	stream := sdk.Chat.Completions.NewStreaming(t.Context(), params)
	got := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			got += choice.Delta.Content
		}
	}
	if stream.Err() != nil || got != "w0 w1 w2 w3 " {
		t.Fatalf("%q %v", got, stream.Err())
	}

	completion, err := sdk.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "m", MaxTokens: openai.Int(3),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
	})
	if err != nil || completion.Choices[0].Text != "w0 w1 w2 " {
		t.Fatalf("%+v %v", completion, err)
	}

	models, err := sdk.Models.List(t.Context())
	if err != nil || models.Data[0].ID != "m" {
		t.Fatalf("%+v %v", models, err)
	}

	params.Model = "none"
	var apiErr *openai.Error
	_, err = sdk.Chat.Completions.New(t.Context(), params)
	if !errors.As(err, &apiErr) || apiErr.StatusCode != 404 || apiErr.Code != "model_not_found" {
		t.Fatalf("%v", err)
	}

	// The SDK must report a broken stream as an error, not as the end of the stream.
	for _, e := range tg.enginesOf("writer") {
		e.SetFaults(fakeengine.Faults{ResetMidStream: 1})
	}
	params.Model, params.MaxCompletionTokens = "m", openai.Int(50)
	stream = sdk.Chat.Completions.NewStreaming(t.Context(), params)
	for stream.Next() { //nolint:revive // to the end
	}
	if stream.Err() == nil || !strings.Contains(stream.Err().Error(), "stream broke") {
		t.Fatalf("broken stream: %v", stream.Err())
	}
}

// TestSDKDoesNotRetryFailureOfNonIdempotentRequest: the SDK retries 5xx responses automatically. For a failed request
// that is not idempotent, the gateway's response makes it send the request only once.
func TestSDKDoesNotRetryFailureOfNonIdempotentRequest(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	for _, e := range tg.enginesOf("writer") {
		e.SetFaults(fakeengine.Faults{FailFast: 1})
	}
	requests := 0
	sdk := newSDK(tg.address, option.WithHeader("X-Class", "order"), countRequests(&requests))
	_, err := sdk.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("order")},
	})
	var apiErr *openai.Error
	if !errors.As(err, &apiErr) || apiErr.StatusCode != 502 || requests != 1 {
		t.Fatalf("%d requests were sent, error %v", requests, err)
	}
}

// startLossyProxy starts a proxy to a gateway and returns its address. The proxy breaks as many connections as failures
// says: it closes them at the first byte of a response, which it drops.
func startLossyProxy(t *testing.T, gatewayAddress string, failures int64) (address string) {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { closeQuietly(l) })
	var remainingFailures atomic.Int64
	remainingFailures.Store(failures)
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", gatewayAddress)
			if err != nil {
				closeQuietly(client)
				return
			}
			go func() {
				_, _ = io.Copy(upstream, client) // ends with either connection
				closeQuietly(upstream)
			}()
			go func() {
				defer closeQuietly(client)
				defer closeQuietly(upstream)
				firstByte := make([]byte, 1)
				if _, err := upstream.Read(firstByte); err != nil || remainingFailures.Add(-1) >= 0 {
					return
				}
				if _, err := client.Write(firstByte); err == nil {
					_, _ = io.Copy(client, upstream) // ends with either connection
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestSDKRetryAfterLostResponse: the connection breaks as the response begins, and the SDK, with its defaults, retries
// automatically. A request that is not idempotent runs once, and the caller gets an error that says why; an idempotent
// request is served by the retry.
func TestSDKRetryAfterLostResponse(t *testing.T) {
	for _, c := range []struct {
		class    string
		requests int
		served   bool
		decodes  int
	}{
		{class: "order", requests: 2, served: false, decodes: 1},
		{class: "ask", requests: 2, served: true, decodes: 2},
	} {
		t.Run(c.class, func(t *testing.T) {
			tg := newTestGateway(t, "", "reader", "writer")
			requests := 0
			proxyAddress := startLossyProxy(t, tg.address, 1)
			sdk := newSDK(proxyAddress, option.WithHeader("X-Class", c.class), countRequests(&requests))
			_, err := sdk.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
				Model: "m", MaxCompletionTokens: openai.Int(4),
				Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("order")},
			})
			if served := err == nil; served != c.served || requests != c.requests {
				t.Errorf("%d requests were sent, error %v", requests, err)
			}
			var apiErr *openai.Error
			isDuplicate := errors.As(err, &apiErr) && apiErr.StatusCode == 502 && apiErr.Code == "earlier_try_may_have_run"
			if !c.served && !isDuplicate {
				t.Errorf("the SDK returned %v", err)
			}
			decodes := 0
			for _, e := range tg.enginesOf("writer") {
				decodes += e.Arrivals()
			}
			if decodes != c.decodes {
				t.Errorf("%d decodes reached the engine", decodes)
			}
		})
	}
}
