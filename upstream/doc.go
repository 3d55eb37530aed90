// Package upstream sends requests to backend servers over HTTP. It sends each
// request once, checks that the response is complete and belongs to the request,
// and reports how far the exchange got. Its callers decide about retries.
package upstream
