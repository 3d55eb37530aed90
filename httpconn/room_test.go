package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"almondstile/memory"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Guards against responses whose bytes nothing bounds while they arrive, against bytes that
// are not given back, and against a response that waits for room that cannot be.
func TestResponseHasRoomBeforeItIsRead(t *testing.T) {
	const bodyBytes = 300 << 10
	body := strings.Repeat("x", bodyBytes)
	responses := map[string]string{
		"length":                fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, body),
		"end of the connection": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"chunks":                fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bodyBytes, body),
	}
	for name, raw := range responses {
		budget := memory.NewBudget(1<<20, time.Now, nil)
		pool := NewPool(Options{Budget: budget})
		read := func(ctx context.Context) error {
			options := DefaultOptions()
			options.AllowCloseDelimitedBodies = true
			options.room = pool.newRoom(ctx)
			defer options.room.release()
			r, resp := bufio.NewReaderSize(strings.NewReader(raw), bufferBytes), &fasthttp.Response{}
			if err := readHead(r, resp); err != nil {
				return err
			}
			if err := readBody(r, resp, false, options); err != nil {
				return err
			}
			if used := budget.Used(); len(resp.Body()) != bodyBytes || used < bodyBytes {
				t.Errorf("%s: read %d bytes, the budget counts %d", name, len(resp.Body()), used)
			}
			return nil
		}
		if err := read(context.Background()); err != nil || budget.Used() != 0 {
			t.Errorf("%s, alone: %v, %d bytes left", name, err, budget.Used())
		}
		other := budget.Open("other", func() {})
		other.Begin(memory.Serving, 0)
		if err := other.Take(budget.Largest()); err != nil {
			t.Fatal(err)
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		if err := read(ended); !errors.Is(err, context.Canceled) {
			t.Errorf("%s, without room until the exchange ended: %v", name, err)
		}
		if err := read(context.Background()); err != nil {
			t.Errorf("%s, the only one beyond the budget: %v", name, err)
		}
		pool.beyondBudget.Store(true)
		var wg conc.WaitGroup
		wg.Go(func() {
			if err := read(context.Background()); err != nil {
				t.Errorf("%s, with room after a time: %v", name, err)
			}
		})
		other.GiveBack(budget.Largest())
		wg.Wait()
		budget = memory.NewBudget(bodyBytes, time.Now, nil)
		pool = NewPool(Options{Budget: budget})
		if err := read(context.Background()); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s, larger than the budget: %v", name, err)
		}
		if used := budget.Used(); used != 0 {
			t.Errorf("%s: %d bytes were not given back", name, used)
		}
	}
}
