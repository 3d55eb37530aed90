// Package netfault is a TCP proxy for loopback that injects network faults into
// each direction of a link separately. A Network holds any number of links. Each
// link listens on its own port and forwards connections to one target.
//
// A dropped direction buffers its bytes and delivers them when the fault ends.
// TCP behaves in this way over a path that loses packets: it retransmits, and
// the stream has no gaps. A link with a dropped direction still accepts
// connections, because the kernel completes the TCP handshake.
package netfault
