package platformsim_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"almondstile/standin/platformsim"
	"almondstile/store"
	"almondstile/store/dynamo"
	"almondstile/store/s3"
	"almondstile/store/vmlist"

	"github.com/cockroachdb/errors"
)

const clientID = "vm1"

// tableAt returns a DynamoDB client for the stand-in at url.
func tableAt(url string) *dynamo.Table {
	return dynamo.New(dynamo.Options{
		Endpoint: url, Region: "local", Table: "almondstile", AccessKey: clientID, SecretKey: "s",
		CallTimeout: 300 * time.Millisecond,
	})
}

// runOnBothClients runs a test with the in-process client and with the DynamoDB
// client over HTTP. Other packages' tests use only one of the two, so a difference
// between them would not be found there.
func runOnBothClients(t *testing.T, test func(t *testing.T, p *platformsim.Platform, table store.Table)) {
	t.Run("in-process", func(t *testing.T) {
		p := platformsim.New()
		test(t, p, p.Client(clientID))
	})
	t.Run("dynamodb", func(t *testing.T) {
		p := platformsim.New()
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		test(t, p, tableAt(server.URL))
	})
}

// put returns a write that stores a value derived from key under condition c.
func put(key string, c store.Condition) store.Write {
	return store.Write{Kind: store.Put, Key: key, Value: []byte("value of " + key), Condition: c}
}

func versionIs(n uint64) store.Condition {
	return store.Condition{Kind: store.VersionIs, Version: n}
}

var absent = store.Condition{Kind: store.Absent}

// Guards against a condition that is not checked, a version that does not grow by
// one per write, and a transaction that applies only some of its writes. Each
// step is one transaction on the rows that the steps before it left.
func TestConditionsAndVersions(t *testing.T) {
	runOnBothClients(t, func(t *testing.T, _ *platformsim.Platform, table store.Table) {
		ctx := context.Background()
		steps := []struct {
			writes  []store.Write
			want    error
			version uint64 // of row "members" after the step; 0 if the row is absent
		}{
			{[]store.Write{put("members", versionIs(1))}, store.ErrConditionFailed, 0},
			{[]store.Write{put("members", absent)}, nil, 1},
			{[]store.Write{put("members", absent)}, store.ErrConditionFailed, 1},
			{[]store.Write{put("members", store.Condition{})}, nil, 2},
			{[]store.Write{put("members", versionIs(2)), put("session/a", versionIs(1))}, store.ErrConditionFailed, 2},
			{[]store.Write{{Kind: store.Check, Key: "session/a", Condition: absent}, put("members", versionIs(2))}, nil, 3},
			{[]store.Write{{Kind: store.Check, Key: "members", Condition: versionIs(2)}, put("session/a", absent)}, store.ErrConditionFailed, 3},
			{[]store.Write{{Kind: store.Delete, Key: "members", Condition: versionIs(2)}}, store.ErrConditionFailed, 3},
			{[]store.Write{{Kind: store.Delete, Key: "members", Condition: versionIs(3)}}, nil, 0},
			{[]store.Write{put("members", store.Condition{})}, nil, 1},
			{[]store.Write{put("members", store.Condition{}), put("members", store.Condition{})}, store.ErrNotDone, 1},
		}
		for i, step := range steps {
			if err := table.Transact(ctx, step.writes); !errors.Is(err, step.want) {
				t.Fatalf("step %d: transaction returned error %v, want %v", i, err, step.want)
			}
			item, err := table.Get(ctx, "members")
			if step.version == 0 && !errors.Is(err, store.ErrNotFound) || item.Version != step.version {
				t.Fatalf("step %d: row has version %d (error %v), want %d", i, item.Version, err, step.version)
			}
		}
	})
}

// Guards against a Query that stops after the first page, returns rows of another
// partition or returns rows out of order: 101 rows need several pages. Also
// guards against a transaction limit other than 100 writes.
func TestQueryPagesAndTransactionLimit(t *testing.T) {
	runOnBothClients(t, func(t *testing.T, _ *platformsim.Platform, table store.Table) {
		ctx := context.Background()
		var writes []store.Write
		for i := 0; i < 101; i++ {
			writes = append(writes, put(fmt.Sprintf("session/vm%03d", i), absent))
		}
		if err := table.Transact(ctx, writes); !errors.Is(err, store.ErrNotDone) {
			t.Fatalf("transaction of 101 writes returned error %v, want ErrNotDone", err)
		}
		if err := table.Transact(ctx, writes[:100]); err != nil {
			t.Fatal(err)
		}
		if err := table.Transact(ctx, []store.Write{put("session", absent), writes[100]}); err != nil {
			t.Fatal(err)
		}
		items, err := table.Query(ctx, "session/")
		if err != nil || len(items) != 101 {
			t.Fatalf("query returned %d items (error %v), want 101", len(items), err)
		}
		for i, item := range items {
			if item.Key != writes[i].Key || !bytes.Equal(item.Value, writes[i].Value) || item.Version != 1 {
				t.Fatalf("item %d is %+v, want version 1 of the row written in this position", i, item)
			}
		}
	})
}

// Guards against an error that claims a known outcome when the outcome is
// unknown. A write whose response is lost or late must return ErrUnknownOutcome,
// although it took effect; a throttled write must return ErrNotDone.
func TestFaultsMapToErrorClasses(t *testing.T) {
	runOnBothClients(t, func(t *testing.T, p *platformsim.Platform, table store.Table) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		p.SetClientFaults(clientID, platformsim.Faults{LoseResponses: true})
		if err := table.Transact(ctx, []store.Write{put("lost", absent)}); !errors.Is(err, store.ErrUnknownOutcome) {
			t.Fatalf("write with a lost response returned error %v, want ErrUnknownOutcome", err)
		}
		if err := table.Transact(ctx, []store.Write{put("lost", absent)}); !errors.Is(err, store.ErrUnknownOutcome) ||
			errors.Is(err, store.ErrConditionFailed) {
			t.Fatalf("failed condition with a lost response returned error %v, want ErrUnknownOutcome only", err)
		}
		p.SetClientFaults(clientID, platformsim.Faults{DelayMillis: 600})
		shortCtx, cancelShort := context.WithTimeout(ctx, 150*time.Millisecond)
		defer cancelShort()
		if err := table.Transact(shortCtx, []store.Write{put("late", absent)}); !errors.Is(err, store.ErrUnknownOutcome) {
			t.Fatalf("write with a late response returned error %v, want ErrUnknownOutcome", err)
		}
		if _, err := table.Get(shortCtx, "lost"); !errors.Is(err, store.ErrNotDone) {
			t.Fatalf("read after the deadline returned error %v, want ErrNotDone", err)
		}
		p.SetClientFaults(clientID, platformsim.Faults{Unavailable: true})
		if err := table.Transact(ctx, []store.Write{put("never", absent)}); err == nil || errors.Is(err, store.ErrConditionFailed) {
			t.Fatalf("write to an unavailable platform returned error %v, want one other than ErrConditionFailed", err)
		}
		p.SetClientFaults(clientID, platformsim.Faults{})
		p.SetFaults(platformsim.Faults{WritesPerSecond: 2, ReadsPerSecond: 1000})
		var throttled int
		for i := 0; i < 5; i++ {
			err := table.Transact(ctx, []store.Write{put(fmt.Sprintf("throttled/%d", i), absent)})
			if err != nil && !errors.Is(err, store.ErrNotDone) {
				t.Fatalf("throttled write returned error %v, want ErrNotDone", err)
			}
			if err != nil {
				throttled++
			}
		}
		items, err := table.Query(ctx, "throttled/")
		if err != nil || throttled == 0 || len(items) != 5-throttled || p.Counters().Throttled != int64(throttled) {
			t.Fatalf("%d of 5 rows written, %d writes throttled (query error %v), counters %+v", len(items), throttled, err, p.Counters())
		}
		p.SetFaults(platformsim.Faults{})
		waitFor(t, ctx, table, "late")
		if _, err := table.Get(ctx, "lost"); err != nil {
			t.Fatalf("reading the row whose write response was lost: %v", err)
		}
		if _, err := table.Get(ctx, "never"); !errors.Is(err, store.ErrNotFound) {
			t.Fatalf("reading a row written while the platform was unavailable returned error %v, want ErrNotFound", err)
		}
	})
}

// waitFor polls until the row exists, and fails the test if ctx ends before.
func waitFor(t *testing.T, ctx context.Context, table store.Table, key string) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		if _, err := table.Get(ctx, key); err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("row %q did not appear before the test's deadline", key)
		case <-ticker.C:
		}
	}
}

// Guards against classifying a refused connection as an unknown outcome. Without
// a connection the write cannot have taken effect, and an unknown outcome would
// make a VM stop its session renewals until it has read the row back.
func TestRefusedConnectionIsNotDone(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + listener.Addr().String()
	_ = listener.Close()
	ctx := context.Background()
	objects := s3.New(s3.Options{Endpoint: url, Region: "local", Bucket: "b", AccessKey: clientID, SecretKey: "s"})
	for name, err := range map[string]error{
		"transact": tableAt(url).Transact(ctx, []store.Write{put("a", absent)}),
		"put":      objects.Put(ctx, "a", nil),
	} {
		if !errors.Is(err, store.ErrNotDone) || errors.Is(err, store.ErrUnknownOutcome) {
			t.Errorf("%s on a refused connection returned error %v, want ErrNotDone only", name, err)
		}
	}
}

// Guards against an object store that loses, alters or truncates objects. Also
// guards against wrong errors for a missing object, a lost response, a throttled
// write and an unavailable platform.
func TestObjectStore(t *testing.T) {
	p := platformsim.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	ctx := context.Background()
	objects := s3.New(s3.Options{
		Endpoint: server.URL, Region: "local", Bucket: "snapshots", AccessKey: clientID, SecretKey: "s", MaxObjectBytes: 1 << 20,
	})
	data := bytes.Repeat([]byte("0123456789"), 50_000)
	if err := objects.Put(ctx, "config/20", data); err != nil {
		t.Fatal(err)
	}
	if got, err := objects.Get(ctx, "config/20"); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("reading the object returned %d bytes (error %v), want the bytes that were written", len(got), err)
	}
	if _, err := objects.Get(ctx, "config/40"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("reading a missing object returned error %v, want ErrNotFound", err)
	}
	p.SetClientFaults(clientID, platformsim.Faults{LoseResponses: true})
	if err := objects.Put(ctx, "lost", data); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Fatalf("write with a lost response returned error %v, want ErrUnknownOutcome", err)
	}
	p.SetFaults(platformsim.Faults{WritesPerSecond: 1})
	p.SetClientFaults(clientID, platformsim.Faults{})
	_ = objects.Put(ctx, "a", nil)
	if err := objects.Put(ctx, "b", nil); !errors.Is(err, store.ErrNotDone) {
		t.Fatalf("throttled write returned error %v, want ErrNotDone", err)
	}
	p.SetFaults(platformsim.Faults{Unavailable: true})
	if _, err := objects.Get(ctx, "lost"); !errors.Is(err, store.ErrNotDone) {
		t.Fatalf("read from an unavailable platform returned error %v, want ErrNotDone", err)
	}
}

// Guards against a VM list that ignores ListLagMillis, and against an admin
// endpoint that ignores the faults sent to it. VM "a" starts to leave 10 s after
// the first list, so a lag of 5 s must return the first list.
func TestVMListLagsAndAdminSetsFaults(t *testing.T) {
	p := platformsim.New()
	now := time.Unix(1000, 0)
	p.Now = func() time.Time { return now }
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	list := vmlist.New(vmlist.Options{URL: server.URL + platformsim.VMListPath})
	p.SetVMs([]store.ListedVM{{ID: "a"}})
	now = now.Add(10 * time.Second)
	p.SetVMs([]store.ListedVM{{ID: "a", Leaving: true}})
	for _, step := range []struct {
		faults  string
		leaving bool
		err     error
	}{{`{}`, true, nil}, {`{"list_lag_ms":5000}`, false, nil}, {`{"unavailable":true}`, false, store.ErrNotDone}} {
		request := httptest.NewRequest("PUT", platformsim.FaultsPath, strings.NewReader(step.faults))
		p.Handler().ServeHTTP(httptest.NewRecorder(), request)
		vms, err := list.List(context.Background())
		if !errors.Is(err, step.err) || err == nil && (len(vms) != 1 || vms[0].Leaving != step.leaving) {
			t.Errorf("faults %s: VM list %+v (error %v); the list or the error is wrong for these faults", step.faults, vms, err)
		}
	}
}
