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

const client = "vm1"

func tableAt(url string) *dynamo.Table {
	return dynamo.New(dynamo.Options{
		Endpoint: url, Region: "local", Table: "almondstile", AccessKey: client, SecretKey: "s",
		CallTimeout: 300 * time.Millisecond,
	})
}

// onBoth runs a test on the in-process client and on the DynamoDB client, so
// that a difference between the two cannot hide in tests that use only one.
func onBoth(t *testing.T, test func(t *testing.T, p *platformsim.Platform, table store.Table)) {
	t.Run("in-process", func(t *testing.T) {
		p := platformsim.New()
		test(t, p, p.Client(client))
	})
	t.Run("dynamodb", func(t *testing.T) {
		p := platformsim.New()
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		test(t, p, tableAt(server.URL))
	})
}

func put(key string, c store.Condition) store.Write {
	return store.Write{Kind: store.Put, Key: key, Value: []byte("value of " + key), Condition: c}
}

func versionIs(n uint64) store.Condition {
	return store.Condition{Kind: store.VersionIs, Version: n}
}

var absent = store.Condition{Kind: store.Absent}

// Guards against a condition that is not tested, versions that do not grow by
// one, and a transaction that applies some of its writes.
func TestConditionsAndVersions(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *platformsim.Platform, table store.Table) {
		ctx := context.Background()
		steps := []struct {
			writes  []store.Write
			want    error
			version uint64 // of row "members" afterwards, 0 if absent
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
				t.Fatalf("step %d: %v, want %v", i, err, step.want)
			}
			item, err := table.Get(ctx, "members")
			if step.version == 0 && !errors.Is(err, store.ErrNotFound) || item.Version != step.version {
				t.Fatalf("step %d: version %d, %v, want %d", i, item.Version, err, step.version)
			}
		}
	})
}

// Guards against a Query that stops at the first page, mixes partitions or
// loses the order, and against a wrong limit of a transaction.
func TestQueryPagesAndTransactionLimit(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *platformsim.Platform, table store.Table) {
		ctx := context.Background()
		var writes []store.Write
		for i := 0; i < 101; i++ {
			writes = append(writes, put(fmt.Sprintf("session/vm%03d", i), absent))
		}
		if err := table.Transact(ctx, writes); !errors.Is(err, store.ErrNotDone) {
			t.Fatalf("101 writes: %v", err)
		}
		if err := table.Transact(ctx, writes[:100]); err != nil {
			t.Fatal(err)
		}
		if err := table.Transact(ctx, []store.Write{put("session", absent), writes[100]}); err != nil {
			t.Fatal(err)
		}
		items, err := table.Query(ctx, "session/")
		if err != nil || len(items) != 101 {
			t.Fatalf("%d items, %v", len(items), err)
		}
		for i, item := range items {
			if item.Key != writes[i].Key || !bytes.Equal(item.Value, writes[i].Value) || item.Version != 1 {
				t.Fatalf("item %d is %+v", i, item)
			}
		}
	})
}

// Guards against an error class that promises more than is known: a write whose
// response is lost or late must be unknown although it took effect.
func TestFaultsMapToErrorClasses(t *testing.T) {
	onBoth(t, func(t *testing.T, p *platformsim.Platform, table store.Table) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		p.SetClientFaults(client, platformsim.Faults{LoseResponses: true})
		if err := table.Transact(ctx, []store.Write{put("lost", absent)}); !errors.Is(err, store.ErrUnknownOutcome) {
			t.Fatalf("lost response: %v", err)
		}
		if err := table.Transact(ctx, []store.Write{put("lost", absent)}); !errors.Is(err, store.ErrUnknownOutcome) ||
			errors.Is(err, store.ErrConditionFailed) {
			t.Fatalf("lost response of a failed condition: %v", err)
		}
		p.SetClientFaults(client, platformsim.Faults{DelayMillis: 600})
		short, stop := context.WithTimeout(ctx, 150*time.Millisecond)
		defer stop()
		if err := table.Transact(short, []store.Write{put("late", absent)}); !errors.Is(err, store.ErrUnknownOutcome) {
			t.Fatalf("late response: %v", err)
		}
		if _, err := table.Get(short, "lost"); !errors.Is(err, store.ErrNotDone) {
			t.Fatalf("read without time left: %v", err)
		}
		p.SetClientFaults(client, platformsim.Faults{Unavailable: true})
		if err := table.Transact(ctx, []store.Write{put("never", absent)}); err == nil || errors.Is(err, store.ErrConditionFailed) {
			t.Fatalf("unavailable: %v", err)
		}
		p.SetClientFaults(client, platformsim.Faults{})
		p.SetFaults(platformsim.Faults{WritesPerSecond: 2, ReadsPerSecond: 1000})
		var refused int
		for i := 0; i < 5; i++ {
			err := table.Transact(ctx, []store.Write{put(fmt.Sprintf("throttled/%d", i), absent)})
			if err != nil && !errors.Is(err, store.ErrNotDone) {
				t.Fatalf("throttled: %v", err)
			}
			if err != nil {
				refused++
			}
		}
		items, err := table.Query(ctx, "throttled/")
		if err != nil || refused == 0 || len(items) != 5-refused || p.Counters().Throttled != int64(refused) {
			t.Fatalf("%d rows, %d refused, %v, %+v", len(items), refused, err, p.Counters())
		}
		p.SetFaults(platformsim.Faults{})
		waitFor(t, ctx, table, "late")
		if _, err := table.Get(ctx, "lost"); err != nil {
			t.Fatalf("write with a lost response: %v", err)
		}
		if _, err := table.Get(ctx, "never"); !errors.Is(err, store.ErrNotFound) {
			t.Fatalf("write to an unavailable platform: %v", err)
		}
	})
}

// waitFor polls until a delayed write has taken effect.
func waitFor(t *testing.T, ctx context.Context, table store.Table, key string) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		if _, err := table.Get(ctx, key); err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("row %q did not appear", key)
		case <-ticker.C:
		}
	}
}

// Guards against an outage being taken for an unknown outcome when no
// connection was made, which would stop renewals for a read-back.
func TestRefusedConnectionIsNotDone(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + listener.Addr().String()
	_ = listener.Close()
	ctx := context.Background()
	objects := s3.New(s3.Options{Endpoint: url, Region: "local", Bucket: "b", AccessKey: client, SecretKey: "s"})
	for name, err := range map[string]error{
		"transact": tableAt(url).Transact(ctx, []store.Write{put("a", absent)}),
		"put":      objects.Put(ctx, "a", nil),
	} {
		if !errors.Is(err, store.ErrNotDone) || errors.Is(err, store.ErrUnknownOutcome) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against lost, altered or truncated objects and wrong error classes.
func TestObjectStore(t *testing.T) {
	p := platformsim.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	ctx := context.Background()
	objects := s3.New(s3.Options{
		Endpoint: server.URL, Region: "local", Bucket: "snapshots", AccessKey: client, SecretKey: "s", MaxObjectBytes: 1 << 20,
	})
	data := bytes.Repeat([]byte("0123456789"), 50_000)
	if err := objects.Put(ctx, "config/20", data); err != nil {
		t.Fatal(err)
	}
	if got, err := objects.Get(ctx, "config/20"); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	if _, err := objects.Get(ctx, "config/40"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("missing object: %v", err)
	}
	p.SetClientFaults(client, platformsim.Faults{LoseResponses: true})
	if err := objects.Put(ctx, "lost", data); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Fatalf("lost response: %v", err)
	}
	p.SetFaults(platformsim.Faults{WritesPerSecond: 1})
	p.SetClientFaults(client, platformsim.Faults{})
	_ = objects.Put(ctx, "a", nil)
	if err := objects.Put(ctx, "b", nil); !errors.Is(err, store.ErrNotDone) {
		t.Fatalf("throttled: %v", err)
	}
	p.SetFaults(platformsim.Faults{Unavailable: true})
	if _, err := objects.Get(ctx, "lost"); !errors.Is(err, store.ErrNotDone) {
		t.Fatalf("unavailable: %v", err)
	}
}

// Guards against a VM list that does not lag and against faults over HTTP that
// are ignored.
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
			t.Errorf("faults %s: %+v, %v", step.faults, vms, err)
		}
	}
}
