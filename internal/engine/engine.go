// Package engine is the HTTP/1.1 client of the engines. It speaks vLLM's published convention for disaggregated
// prefill or another implementation of Protocol, pools connections, and maps every network outcome to one
// routing.Result by a table that docs/gateway.md reproduces. It does not choose among engines.
//
// A Client and its Endpoints are safe for concurrent use; they own the connections and their counts. Each attempt runs
// on the goroutine that calls Prefill, Decode or ReleaseState. Other goroutines may call only its Cancel, Canceled and
// Progress methods. The package starts no goroutines.
package engine
