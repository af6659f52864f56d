package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
)

// proxyEnv is the environment variable with the target name, the listen address and the engines of a reference proxy's
// process.
const proxyEnv = "BRACKENBEND_TEST_PROXY"

// referenceProxy forwards requests to randomly picked engines with httputil.ReverseProxy. The benchmarks compare the
// gateway with it.
type referenceProxy struct {
	prefillURLs, decodeURLs []*url.URL
	client                  *http.Client // sends prefill requests; shares its transport with decodeProxy
	decodeProxy             *httputil.ReverseProxy
}

// proxyMain is the main function of a reference proxy's process; TestMain runs it if proxyEnv is set.
// Engines at even positions prefill and those at odd positions decode.
func proxyMain(target, listen, engines string) int {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000}
	p := &referenceProxy{client: &http.Client{Transport: transport}}
	for i, address := range strings.Split(engines, ",") {
		engineURL := &url.URL{Scheme: "http", Host: address}
		if i%2 == 0 {
			p.prefillURLs = append(p.prefillURLs, engineURL)
		} else {
			p.decodeURLs = append(p.decodeURLs, engineURL)
		}
	}
	p.decodeProxy = &httputil.ReverseProxy{
		FlushInterval: -1,
		Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(randomURL(p.decodeURLs)) },
		Transport:     transport,
	}
	var handler http.Handler = p.decodeProxy
	if target == targetTwoStageProxy {
		handler = http.HandlerFunc(p.serveTwoStages)
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(listen, handler))
	return exitFailure
}

func randomURL(urls []*url.URL) *url.URL { return urls[rand.IntN(len(urls))] }

// serveTwoStages makes the same two exchanges as the gateway: a prefill, then a decode.
func (p *referenceProxy) serveTwoStages(w http.ResponseWriter, r *http.Request) {
	if err := p.prefill(r); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	p.decodeProxy.ServeHTTP(w, r)
}

// prefill sends the prefill request of r and replaces the body of r with that of the decode request.
func (p *referenceProxy) prefill(r *http.Request) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	prefillURL := *randomURL(p.prefillURLs)
	prefillURL.Path = r.URL.Path
	prefillBody := withFields(body, `"max_tokens":1,"kv_transfer_params":{"do_remote_decode":true}`)
	resp, err := p.client.Post(prefillURL.String(), "application/json", strings.NewReader(prefillBody))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var reply struct {
		TransferParams json.RawMessage `json:"kv_transfer_params"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	decodeBody := withFields(body, `"kv_transfer_params":`+string(reply.TransferParams))
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(decodeBody)), int64(len(decodeBody))
	return nil
}

// withFields returns a JSON object with fields added at its end.
func withFields(object []byte, fields string) string {
	return string(object[:len(object)-1]) + "," + fields + "}"
}
