// Package work learns what requests are likely to cost their servers, and estimates from
// it how long a request waits at a server.
//
// Costs are learned by kind of request from responses that did not wait for a slot. The
// unit in which the work of a server is counted is the mean cost of a request of its
// service. While all requests of a service cost alike, each counts as 1, and the work of
// a server is the number of its requests.
package work
