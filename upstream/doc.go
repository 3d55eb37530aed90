// Package upstream speaks HTTP with backend servers. It sends each request once,
// checks that the response is whole and belongs to the request, and says how far
// the exchange got. It decides nothing about retries.
package upstream
