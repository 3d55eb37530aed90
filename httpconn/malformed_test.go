package httpconn

import (
	"strings"
	"sync/atomic"
	"testing"

	"almondstile/request"
	"almondstile/standin/rawserver"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// statusOK is a status line.
const statusOK = "HTTP/1.1 200 OK\r\n"

// lengthAndBody is the end of a head and a body of two bytes.
const lengthAndBody = "Content-Length: 2\r\n\r\nok"

// chunks is a body of two bytes in chunks.
const chunks = "2\r\nok\r\n0\r\n\r\n"

// statusChunks is a response in chunks up to its trailer.
const statusChunks = statusOK + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"

// malformedResponses are responses that HTTP does not allow, by the check that they fail.
var malformedResponses = map[Violation]map[string]string{
	ViolationVersion: {
		"not HTTP":      "hello hello hello\r\n\r\n",
		"another name":  "XTTP/1.1 200 OK\r\n" + lengthAndBody,
		"lower case":    "http/1.1 200 OK\r\n" + lengthAndBody,
		"HTTP/0.9":      "HTTP/0.9 200 OK\r\n" + lengthAndBody,
		"HTTP/1.2":      "HTTP/1.2 200 OK\r\n" + lengthAndBody,
		"HTTP/2.0":      "HTTP/2.0 200 OK\r\n" + lengthAndBody,
		"empty line":    "\r\nHTTP/1.1 200 OK\r\n" + lengthAndBody,
		"tab":           "HTTP/1.1\t200 OK\r\n" + lengthAndBody,
		"no space":      "HTTP/1.1200 OK\r\n" + lengthAndBody,
		"after interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/2.0 200 OK\r\n" + lengthAndBody,
	},
	ViolationStatusLine: {
		"no status":           "HTTP/1.1\r\n" + lengthAndBody,
		"two digits":          "HTTP/1.1 20 OK\r\n" + lengthAndBody,
		"four digits":         "HTTP/1.1 0200 OK\r\n" + lengthAndBody,
		"sign":                "HTTP/1.1 +20 OK\r\n" + lengthAndBody,
		"letter":              "HTTP/1.1 2OO OK\r\n" + lengthAndBody,
		"two spaces":          "HTTP/1.1  200 OK\r\n" + lengthAndBody,
		"status and reason":   "HTTP/1.1 200OK\r\n" + lengthAndBody,
		"control in a reason": "HTTP/1.1 200 O\x01K\r\n" + lengthAndBody,
		"CR in a reason":      "HTTP/1.1 200 O\rK\r\n" + lengthAndBody,
	},
	ViolationStatusCode: {
		"000":                           "HTTP/1.1 000 OK\r\n" + lengthAndBody,
		"099":                           "HTTP/1.1 099 OK\r\n\r\n",
		"600":                           "HTTP/1.1 600 OK\r\n" + lengthAndBody,
		"999":                           "HTTP/1.1 999 OK\r\n" + lengthAndBody,
		"000 after an interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + lengthAndBody,
	},
	ViolationProtocolSwitch: {
		"101": "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nok",
	},
	ViolationFraming: {
		"coding in a trailer":    statusChunks + "Transfer-Encoding: chunked\r\n\r\n",
		"length in a trailer":    statusChunks + "Content-Length: 7\r\n\r\n",
		"length and coding":      statusOK + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"coding and length":      statusOK + "transfer-encoding: chunked\r\ncontent-length: 12\r\n\r\n" + chunks,
		"coding in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"204 with length":        "HTTP/1.1 204 No Content\r\n" + lengthAndBody,
		"204 with coding":        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"interim with length":    "HTTP/1.1 100 Continue\r\n" + lengthAndBody + statusOK + lengthAndBody,
		"interim with coding":    "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + statusOK + lengthAndBody,
		"interim's length alone": "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n" + statusOK + lengthAndBody,
	},
	ViolationCodec: { // what the library rejects
		"two lengths":       statusOK + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"two equal lengths": statusOK + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"list of lengths":   statusOK + "Content-Length: 2, 2\r\n\r\nok",
		"sign":              statusOK + "Content-Length: +2\r\n\r\nok",
		"negative":          statusOK + "Content-Length: -2\r\n\r\nok",
		"hexadecimal":       statusOK + "Content-Length: 0x2\r\n\r\nok",
		"two numbers":       statusOK + "Content-Length: 2 2\r\n\r\nok",
		"letter":            statusOK + "Content-Length: 2a\r\n\r\nok",
		"empty":             statusOK + "Content-Length:\r\n\r\nok",
		"overflow":          statusOK + "Content-Length: 18446744073709551618\r\n\r\nok",
		"two codings":       statusOK + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
		"coding twice":      statusOK + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"unknown coding":    statusOK + "Transfer-Encoding: x\r\n\r\n" + chunks,
		"identity":          statusOK + "Transfer-Encoding: identity\r\n\r\nok",
	},
	ViolationLineBreak: {
		"in the status line":        "HTTP/1.1 200 OK\n" + lengthAndBody,
		"everywhere":                "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"in front of a name":        statusOK + "\nX-Note: a\r\n" + lengthAndBody,
		"in a name":                 statusOK + "X-No\nte: a\r\n" + lengthAndBody,
		"in a value":                statusOK + "X-Note: a\nb\r\n" + lengthAndBody,
		"at the end of the head":    statusOK + "Content-Length: 2\r\n\nok",
		"in an interim response":    "HTTP/1.1 100 Continue\r\nX-Note: a\n\r\n" + statusOK + lengthAndBody,
		"in front of the trailer":   statusChunks + "\nX-Sum: a\r\n\r\n",
		"in a trailer":              statusChunks + "X-Sum: a\nX-Other: b\r\n\r\n",
		"at the end of the trailer": statusChunks + "X-Sum: a\r\n\n",
		"behind an interim's start": "HTTP/1.1 100 Continue\r\n\n" + statusOK + lengthAndBody,
	},
	ViolationLineFolding: {
		"value":          statusOK + "X-Note: a\r\n b\r\n" + lengthAndBody,
		"tab":            statusOK + "X-Note: a\r\n\tb\r\n" + lengthAndBody,
		"field":          statusOK + "X-Note: a\r\n Content-Length: 1\r\n" + lengthAndBody,
		"first line":     statusOK + " X-Note: a\r\n" + lengthAndBody,
		"empty line":     statusOK + "X-Note: a\r\n \r\n" + lengthAndBody,
		"of the length":  statusOK + "Content-Length:\r\n 2\r\n\r\nok",
		"trailer":        statusChunks + "X-Sum: a\r\n b\r\n\r\n",
		"first trailer":  statusChunks + " X-Sum: a\r\n\r\n",
		"interim's line": "HTTP/1.1 100 Continue\r\nX-Note: a\r\n b\r\n\r\n" + statusOK + lengthAndBody,
	},
	ViolationFieldName: {
		"space":                          statusOK + "X-No te: a\r\n" + lengthAndBody,
		"space behind the length":        statusOK + lengthAndBody[:len("Content-Length: 2\r\n")] + "X-No te: a\r\n\r\nok",
		"space in the length":            statusOK + "Content-Len gth: 2\r\n\r\nok",
		"space before the colon":         statusOK + "X-Note : a\r\n" + lengthAndBody,
		"tab before the colon":           statusOK + "X-Note\t: a\r\n" + lengthAndBody,
		"space behind the length's":      statusOK + "Content-Length : 2\r\n\r\nok",
		"NUL":                            statusOK + "X-No\x00te: a\r\n" + lengthAndBody,
		"control":                        statusOK + "X-No\x01te: a\r\n" + lengthAndBody,
		"DEL":                            statusOK + "X-No\x7fte: a\r\n" + lengthAndBody,
		"CR":                             statusOK + "X-No\rte: a\r\n" + lengthAndBody,
		"CR in front":                    statusOK + "\rX-Note: a\r\n" + lengthAndBody,
		"tab":                            statusOK + "X-No\tte: a\r\n" + lengthAndBody,
		"separator":                      statusOK + "X(Note): a\r\n" + lengthAndBody,
		"bytes over 0x7f":                statusOK + "X-N\xc3\xb6te: a\r\n" + lengthAndBody,
		"empty":                          statusOK + ": a\r\n" + lengthAndBody,
		"no colon":                       statusOK + "X-Note\r\n" + lengthAndBody,
		"in a trailer":                   statusChunks + "X-Su m: a\r\n\r\n",
		"control in a trailer":           statusChunks + "X-Su\x01m: a\r\n\r\n",
		"space before a trailer's colon": statusChunks + "X-Sum : a\r\n\r\n",
		"in an interim response":         "HTTP/1.1 100 Continue\r\nX-No te: a\r\n\r\n" + statusOK + lengthAndBody,
	},
	ViolationFieldValue: {
		"NUL":          statusOK + "X-Note: a\x00\r\n" + lengthAndBody,
		"control":      statusOK + "X-Note: a\x01b\r\n" + lengthAndBody,
		"DEL":          statusOK + "X-Note: \x7f\r\n" + lengthAndBody,
		"CR":           statusOK + "X-Note: a\rb\r\n" + lengthAndBody,
		"in a trailer": statusChunks + "X-Sum: \x00\r\n\r\n",
		"two CRs":      statusOK + "X-Note: a\r\r\n" + lengthAndBody,
	},
}

// Guards against passing on a response that HTTP does not allow, of which the HTTP
// library makes another one (status 000 becomes 200), and against a request that counts
// as not run although its server responded. The connection is not used again.
func TestMalformedResponses(t *testing.T) {
	for violation, responses := range malformedResponses {
		for name, raw := range responses {
			t.Run(string(violation)+"/"+name, func(t *testing.T) {
				t.Parallel()
				testMalformedResponse(t, violation, raw, rawserver.Start)
				testMalformedResponse(t, violation, raw, rawserver.StartClosing)
			})
		}
	}
}

// testMalformedResponse sends one request to a server that responds with raw, and a
// second one. The server keeps its connections open, or closes them, so that a body
// without a length ends.
func testMalformedResponse(t *testing.T, violation Violation, raw string, start func(rawserver.Respond) (*rawserver.Server, error)) {
	var requests atomic.Int64
	server, err := start(func(*fasthttp.Request) []byte {
		if requests.Add(1) == 1 {
			return []byte(raw)
		}
		return []byte(okResponse)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	options := DefaultOptions()
	options.AllowCloseDelimitedBodies = true
	p := NewPool(options)
	defer p.CloseIdle(true)
	resp, progress, err := doRequest(t, p, server.Address(), "GET")
	if !errors.Is(err, ErrMalformed) || errors.Is(err, ErrDeadline) || progress != request.Written {
		t.Fatalf("got status %d, body %q, progress %d, error %v; want Written, ErrMalformed", resp.StatusCode(), resp.Body(), progress, err)
	}
	if got := ViolationOf(err); got != violation {
		t.Errorf("got violation %q, want %q: %v", got, violation, err)
	}
	if resp, _, err := doRequest(t, p, server.Address(), "GET"); err != nil || string(resp.Body()) != "ok" {
		t.Errorf("the next request got body %q, error %v", resp.Body(), err)
	}
	if got := server.Connections(); got != 2 {
		t.Errorf("two requests used %d connections, want 2", got)
	}
}

// Guards against chunk lines that can be read in two ways.
func TestMalformedChunks(t *testing.T) {
	for name, body := range map[string]string{
		"LF behind a size":         "2\nok\r\n0\r\n\r\n",
		"LF behind a chunk":        "2\r\nok\n0\r\n\r\n",
		"LF behind an extension":   "2;a\nok\r\n0\r\n\r\n",
		"LF in an extension":       "2;a\n2\r\nok\r\n0\r\n\r\n",
		"CR in an extension":       "2;a\rb\r\nok\r\n0\r\n\r\n",
		"LF behind the last chunk": "2\r\nok\r\n0\n\r\n",
		"prefix":                   "0x2\r\nok\r\n0\r\n\r\n",
		"sign":                     "+2\r\nok\r\n0\r\n\r\n",
		"negative":                 "-2\r\nok\r\n0\r\n\r\n",
		"space in front":           " 2\r\nok\r\n0\r\n\r\n",
		"empty":                    "\r\nok\r\n0\r\n\r\n",
		"overflow":                 "10000000000000002\r\nok\r\n0\r\n\r\n",
		"junk":                     "2 x\r\nok\r\n0\r\n\r\n",
		"no line break":            "2\r\nok0\r\n\r\n",
		"too long":                 "2\r\nokk\r\n0\r\n\r\n",
		"too short":                "3\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			raw := statusOK + "Transfer-Encoding: chunked\r\n\r\n" + body
			address, _ := startScriptedServer(t, func(int64) []byte { return []byte(raw) })
			resp, progress, err := doRequest(t, NewPool(DefaultOptions()), address, "GET")
			if !errors.IsAny(err, ErrMalformed, ErrTruncated) || errors.Is(err, ErrDeadline) || progress != request.Written {
				t.Errorf("got body %q, progress %d, error %v; want Written, ErrMalformed or ErrTruncated", resp.Body(), progress, err)
			}
		})
	}
}

// soundResponses are responses that HTTP allows, with the body "ok".
var soundResponses = map[string]string{
	"reason phrase":              "HTTP/1.1 200 All is well: \x80\xff\t!\r\n" + lengthAndBody,
	"empty reason phrase":        "HTTP/1.1 200 \r\n" + lengthAndBody,
	"no reason phrase":           "HTTP/1.1 200\r\n" + lengthAndBody,
	"smallest status":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + lengthAndBody,
	"unknown interim":            "HTTP/1.1 199 Wait\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + lengthAndBody,
	"unknown status":             "HTTP/1.1 299 Fine\r\n" + lengthAndBody,
	"largest status":             "HTTP/1.1 599 Bad\r\n" + lengthAndBody,
	"HTTP/1.0":                   "HTTP/1.0 200 OK\r\n" + lengthAndBody,
	"all token characters":       statusOK + "!#$%&'*+-.^_`|~09azAZ: a\r\n" + lengthAndBody,
	"empty values":               statusOK + "X-A:\r\nX-B: \r\nX-C:\t\r\n" + lengthAndBody,
	"bytes of values":            statusOK + "X-A:v\r\nX-B: a\tb:c \x80\xff\"(,)/\t \r\n" + lengthAndBody,
	"white space and the length": statusOK + "Content-Length: \t2 \r\n\r\nok",
	"no length":                  statusOK + "\r\nok",
	"no length, HTTP/1.0":        "HTTP/1.0 200 OK\r\nX-Note: a\r\n\r\nok",
	"chunks":                     statusOK + "transfer-encoding: Chunked\r\n\r\n1;a=b;c=\"d\"\r\no\r\n01\r\nk\r\n0;e\r\n\r\n",
	"trailer":                    statusOK + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: a\r\nX-Other:\r\n\r\n",
}

// Guards against checks that reject responses without a body that HTTP allows.
func TestSoundResponsesWithoutBody(t *testing.T) {
	for name, raw := range map[string]string{
		"204":             "HTTP/1.1 204 No Content\r\n\r\n",
		"204, length 0":   "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"304 with length": "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
		"304 with coding": "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
		"205":             "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n",
		"HEAD":            statusOK + "Content-Length: 2\r\n\r\n",
		"HEAD, chunked":   statusOK + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startScriptedServer(t, func(int64) []byte { return []byte(raw) })
			method, _, _ := strings.Cut(name, ",")
			if method != "HEAD" {
				method = "GET"
			}
			p := NewPool(DefaultOptions())
			defer p.CloseIdle(true)
			for range 2 { // on one connection
				resp, progress, err := doRequest(t, p, address, method)
				if err != nil || progress != request.ResponseComplete || len(resp.Body()) > 0 {
					t.Errorf("got body %q, progress %d, error %v; want the whole response", resp.Body(), progress, err)
				}
			}
		})
	}
}

// Guards against checks that reject what HTTP allows.
func TestSoundResponses(t *testing.T) {
	for name, raw := range soundResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startScriptedServer(t, func(int64) []byte { return []byte(raw) })
			address = startTruncatingProxy(t, address, len(raw))
			options := DefaultOptions()
			options.AllowCloseDelimitedBodies = true
			resp, progress, err := doRequest(t, NewPool(options), address, "GET")
			if err != nil || progress != request.ResponseComplete || string(resp.Body()) != "ok" {
				t.Errorf("got body %q, progress %d, error %v; want the whole response", resp.Body(), progress, err)
			}
		})
	}
}
