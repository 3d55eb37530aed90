package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	// status is 0 if the connection ended without a complete answer.
	status int
	body   string
	err    error
}

// newID returns the ID of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestText returns a request as sent by a client.
func requestText(method, path, id string, deadline time.Duration, body string) string {
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n%s",
		method, path, hostName, id, deadline.Milliseconds(), apiKey, length, body)
}

// readAnswer reads one complete answer.
func readAnswer(reader *bufio.Reader) answer {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err, body: string(b)}
	}
	return answer{status: resp.StatusCode, body: string(b)}
}

// sendOnce sends a request on a new connection and reads its answer.
func sendOnce(address, method, path, id string, deadline time.Duration, body string) answer {
	nc, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(nc, requestText(method, path, id, deadline, body)); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(nc))
}
