// Package httpfront is the callers' HTTP listener. It parses requests within
// limits, rejects ambiguous framing, hands the request to a dispatcher and
// writes the result with the headers that say whether the request took effect.
package httpfront
