package httpconn

import (
	"testing"

	"almondstile/request"

	"github.com/cockroachdb/errors"
)

// body2 is the rest of a head and a body of two bytes.
const body2 = "Content-Length: 2\r\n\r\nok"

// malformedResponses are responses that HTTP does not allow, by the check that they fail.
var malformedResponses = map[Violation]map[string]string{
	ViolationVersion: {
		"not HTTP":        "hello hello hello\r\n\r\n",
		"another name":    "XTTP/1.1 200 OK\r\n" + body2,
		"lower case":      "http/1.1 200 OK\r\n" + body2,
		"HTTP/0.9":        "HTTP/0.9 200 OK\r\n" + body2,
		"HTTP/1.2":        "HTTP/1.2 200 OK\r\n" + body2,
		"HTTP/2.0":        "HTTP/2.0 200 OK\r\n" + body2,
		"empty line":      "\r\nHTTP/1.1 200 OK\r\n" + body2,
		"tab":             "HTTP/1.1\t200 OK\r\n" + body2,
		"no blank":        "HTTP/1.1200 OK\r\n" + body2,
		"after interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/2.0 200 OK\r\n" + body2,
		"body of interim": "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n" + body2,
	},
	ViolationStatusLine: {
		"no status":           "HTTP/1.1\r\n" + body2,
		"two digits":          "HTTP/1.1 20 OK\r\n" + body2,
		"four digits":         "HTTP/1.1 0200 OK\r\n" + body2,
		"sign":                "HTTP/1.1 +20 OK\r\n" + body2,
		"letter":              "HTTP/1.1 2OO OK\r\n" + body2,
		"two blanks":          "HTTP/1.1  200 OK\r\n" + body2,
		"status and reason":   "HTTP/1.1 200OK\r\n" + body2,
		"control in a reason": "HTTP/1.1 200 O\x01K\r\n" + body2,
		"CR in a reason":      "HTTP/1.1 200 O\rK\r\n" + body2,
	},
	ViolationStatusCode: {
		"000":                           "HTTP/1.1 000 OK\r\n" + body2,
		"099":                           "HTTP/1.1 099 OK\r\n\r\n",
		"600":                           "HTTP/1.1 600 OK\r\n" + body2,
		"999":                           "HTTP/1.1 999 OK\r\n" + body2,
		"000 after an interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + body2,
	},
	ViolationProtocolSwitch: {
		"101": "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nok",
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
				testMalformedResponse(t, violation, raw)
			})
		}
	}
}

// testMalformedResponse sends one request to a server that responds with raw and keeps
// the connection open, and a second one that gets a sound response.
func testMalformedResponse(t *testing.T, violation Violation, raw string) {
	address, _ := startScriptedServer(t, func(n int64) []byte {
		if n == 1 {
			return []byte(raw)
		}
		return []byte(okResponse)
	})
	options := DefaultOptions()
	options.AllowCloseDelimitedBodies = true
	p := NewPool(options)
	defer p.CloseIdle(true)
	resp, progress, err := doRequest(t, p, address, "GET")
	if !errors.Is(err, ErrMalformed) || errors.Is(err, ErrDeadline) || progress != request.Written {
		t.Fatalf("got status %d, body %q, progress %d, error %v; want Written, ErrMalformed", resp.StatusCode(), resp.Body(), progress, err)
	}
	if got := ViolationOf(err); got != violation {
		t.Errorf("got violation %q, want %q: %v", got, violation, err)
	}
	if resp, _, err := doRequest(t, p, address, "GET"); err != nil || string(resp.Body()) != "ok" {
		t.Errorf("the next request got body %q, error %v", resp.Body(), err)
	}
}

// soundResponses are responses that HTTP allows, with the body "ok".
var soundResponses = map[string]string{
	"reason phrase":       "HTTP/1.1 200 All is well: \x80\xff\t!\r\n" + body2,
	"empty reason phrase": "HTTP/1.1 200 \r\n" + body2,
	"no reason phrase":    "HTTP/1.1 200\r\n" + body2,
	"smallest status":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + body2,
	"unknown interim":     "HTTP/1.1 199 Wait\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + body2,
	"unknown status":      "HTTP/1.1 299 Fine\r\n" + body2,
	"largest status":      "HTTP/1.1 599 Bad\r\n" + body2,
	"HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + body2,
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
