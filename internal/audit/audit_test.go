package audit_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/audit"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	standin "fuchsiahub.example/fuchsiahub/internal/standin/objectapi"
)

// withStore runs a test in a synctest bubble with a stand-in object API.
func withStore(t *testing.T, test func(t *testing.T, store *standin.Store)) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- store.Run(ctx) }()
		test(t, store)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func records(from, to int) []audit.Record {
	var list []audit.Record
	for i := from; i < to; i++ {
		list = append(list, audit.Record{ID: fmt.Sprint(i), Time: time.Unix(int64(i), 0).UTC(), Service: "intake", Cause: strings.Repeat("x", 150)})
	}
	return list
}

func read(t *testing.T, api objectapi.API, filter audit.Filter) audit.ReadResult {
	t.Helper()
	found, err := audit.Read(t.Context(), api, filter)
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// Guards against a trail that grows without bound or does not count the records that it dropped.
func TestRingDropsOldest(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Store) {
		trail := audit.NewTrail(store, audit.InstancePartitions, "entry-1")
		const total = 2600
		for i := 0; i < total; i += 50 {
			if n, err := trail.Append(t.Context(), records(i, i+50), 0); err != nil || n != 50 {
				t.Fatal(n, err)
			}
		}
		found := read(t, store, audit.Filter{})
		first := total - len(found.Records)
		if found.Dropped != first || first == 0 {
			t.Errorf("%d records are kept and %d were dropped of %d", len(found.Records), found.Dropped, total)
		}
		for i, r := range found.Records {
			if r.ID != fmt.Sprint(first+i) {
				t.Fatalf("record %d has id %s", i, r.ID)
			}
		}
		objects, _, _ := store.List(t.Context(), objectapi.Audit)
		for _, o := range objects {
			if len(o.Value) > 32<<10 {
				t.Errorf("segment %s has %d bytes", o.Name, len(o.Value))
			}
		}
		if len(objects) != 16 {
			t.Errorf("%d segments", len(objects))
		}
	})
}

// Guards against two writers of one partition that overwrite each other's records, and against a record that is written
// twice because the answer to the first write was lost.
func TestConcurrentWritersAndLostAnswers(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Store) {
		a, b := audit.NewTrail(store, audit.InstancePartitions, "entry-1"), audit.NewTrail(store, audit.InstancePartitions, "entry-1")
		for i := 0; i < 400; i += 20 {
			if err := store.Set(t.Context(), standin.Switches{LoseAnswers: i / 20 % 2}); err != nil {
				t.Fatal(err)
			}
			if _, err := a.Append(t.Context(), records(i, i+10), 0); err != nil {
				t.Fatal(err)
			}
			if _, err := b.Append(t.Context(), records(i+10, i+20), 0); err != nil {
				t.Fatal(err)
			}
		}
		found := read(t, store, audit.Filter{})
		if len(found.Records) != 400 || found.Records[399].ID != "399" {
			t.Errorf("%d records", len(found.Records))
		}
	})
}

// Guards against a writer that does not batch records, loses all records of an outage, or keeps an unlimited number of
// them.
func TestWriterBatchesAndSurvivesOutage(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Store) {
		writer, err := audit.NewWriter(store, "entry-1", 7, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- writer.Run(ctx) }()
		offer := func(n int) {
			for i := range n {
				if err := writer.Offer(audit.EjectedRecord("intake", "permian-a", fmt.Sprint("intake-", i), "three failures in a row")); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
			}
		}
		offer(100)
		time.Sleep(11 * time.Second) // longer than the pause between writes; virtual time
		synctest.Wait()
		if counts, _ := store.Counts(ctx); counts.Writes != 1 {
			t.Errorf("%d writes for one batch", counts.Writes)
		}
		if err := store.Set(ctx, standin.Switches{Down: true}); err != nil {
			t.Fatal(err)
		}
		offer(1500)
		time.Sleep(time.Minute)
		if err := store.Set(ctx, standin.Switches{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		found := read(t, store, audit.Filter{Service: "intake", Zone: "permian-a"})
		if len(found.Records) != 1100 || found.Dropped != 500 || found.Records[1099].Server != "intake-1499" {
			t.Errorf("%d records, %d dropped", len(found.Records), found.Dropped)
		}
		offer(1)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if found := read(t, store, audit.Filter{}); len(found.Records) != 1101 {
			t.Errorf("%d records after the stop", len(found.Records))
		}
	})
}

// Guards against a filter that returns records of another service, zone or time, and against a malformed segment that
// makes the other segments unreadable.
func TestReadFilters(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Store) {
		trail := audit.NewTrail(store, audit.OperatorPartitions, "someone")
		list := []audit.Record{
			{ID: "1", Time: time.Unix(100, 0), Service: "intake"},
			{ID: "2", Time: time.Unix(200, 0), Service: "atlas", Zone: "permian-a"},
			{ID: "3", Time: time.Unix(300, 0), Zone: "permian-b"},
		}
		if _, err := trail.Append(t.Context(), list, 0); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Create(t.Context(), objectapi.Audit, "fleet-0-0", []byte("{")); err != nil {
			t.Fatal(err)
		}
		tests := []struct {
			filter audit.Filter
			want   string
		}{
			{audit.Filter{}, "1 2 3"},
			{audit.Filter{Service: "atlas"}, "2"},
			{audit.Filter{Zone: "permian-b"}, "3"},
			{audit.Filter{Since: time.Unix(200, 0)}, "2 3"},
			{audit.Filter{Until: time.Unix(200, 0)}, "1"},
		}
		for _, test := range tests {
			found := read(t, store, test.filter)
			var ids []string
			for _, r := range found.Records {
				ids = append(ids, r.ID)
			}
			if got := strings.Join(ids, " "); got != test.want || !slices.Equal(found.Malformed, []string{"fleet-0-0"}) {
				t.Errorf("%+v: got %q, malformed %v", test.filter, got, found.Malformed)
			}
		}
	})
}

// Guards against a difference that contains unchanged lines.
func TestDifference(t *testing.T) {
	got := audit.Difference([]byte("a\nb\nc\n"), []byte("a\nx\nc\n"))
	if !slices.Equal(got, []string{"-b", "+x"}) {
		t.Errorf("got %q", got)
	}
}
