// Package netfault is a TCP proxy for loopback that makes links fail one
// direction at a time. A Network holds any number of links; each link listens on
// its own port and passes connections on to one target.
//
// A dropped direction holds its bytes back until the fault ends, as TCP does
// over a path that loses packets: the stream never has holes. Connections are
// still accepted in the meantime, because the kernel completes the handshake.
package netfault
