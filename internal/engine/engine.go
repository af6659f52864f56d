// Package engine is the client of the engines: vLLM's published convention for disaggregated prefill over HTTP/1.1,
// pooled connections, and the table that turns every network outcome into one routing.Result (docs/gateway.md
// prints it). It does not choose among engines.
//
// A Client and its Endpoints may be used from any goroutine; they own the connections and their counts. Each attempt
// runs on the goroutine that calls Prefill or Decode, and only its Cancel, Canceled and Progress may be called from
// others. The package starts no goroutines.
package engine
