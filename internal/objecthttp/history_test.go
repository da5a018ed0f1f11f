package objecthttp_test

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	standin "fuchsiahub.example/fuchsiahub/internal/standin/objectapi"
)

// objectState is the state of one object.
type objectState struct {
	version uint64
	value   string
}

// op is one call: a read, or an update that expects a version.
type op struct {
	write       bool
	baseVersion uint64
	value       string
}

// result is the result of a call. A write with an unknown result may have taken effect.
type result struct {
	objectState
	conflict, unknown bool
}

// conditionalUpdateModel is the sequential model of one object with conditional updates.
var conditionalUpdateModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{objectState{version: 1}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(objectState), input.(op), output.(result)
		switch {
		case !in.write && (out.unknown || s == out.objectState):
			return []any{s}
		case !in.write:
			return nil
		case out.unknown && in.baseVersion == s.version:
			return []any{s, objectState{version: s.version + 1, value: in.value}}
		case out.unknown, out.conflict && in.baseVersion != s.version:
			return []any{s}
		case !out.conflict && in.baseVersion == s.version && out.version == s.version+1:
			return []any{objectState{version: out.version, value: in.value}}
		}
		return nil
	},
}

// recordHistory runs concurrent clients against one object and returns the history of their calls.
func recordHistory(t *testing.T, store *standin.Store, api objectapi.API, seed uint64) []porcupine.Operation {
	t.Helper()
	const clients, calls = 6, 40
	ctx := t.Context()
	first, err := store.Create(ctx, objectapi.Claims, "c", nil)
	if err != nil || first.Version != 1 {
		t.Fatal(first, err)
	}
	histories := make(chan []porcupine.Operation, clients)
	for client := range clients {
		rnd := rand.New(rand.NewPCG(seed, uint64(client)))
		go func() { histories <- runClient(ctx, store, api, client, calls, rnd) }()
	}
	var all []porcupine.Operation
	for range clients {
		all = append(all, <-histories...)
	}
	return all
}

func runClient(ctx context.Context, store *standin.Store, api objectapi.API, client, calls int, rnd *rand.Rand) []porcupine.Operation {
	var history []porcupine.Operation
	lastState := objectState{version: 1}
	for i := range calls {
		if rnd.IntN(8) == 0 {
			s, _ := store.Switches(ctx)
			s.LoseAnswers = 1
			_ = store.Set(ctx, s)
		}
		in := op{write: rnd.IntN(2) == 0, baseVersion: lastState.version, value: strconv.Itoa(client) + "-" + strconv.Itoa(i)}
		call := time.Now().UnixNano()
		out := perform(ctx, api, in)
		end := time.Now().UnixNano()
		if out.unknown {
			end = math.MaxInt64
		}
		if out.version > 0 {
			lastState = out.objectState
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
		if out.unknown {
			client += 100 // in a history, a client with a pending call makes no other call, so a new client continues
		}
	}
	return history
}

func perform(ctx context.Context, api objectapi.API, in op) result {
	if !in.write {
		o, err := api.Get(ctx, objectapi.Claims, "c")
		return result{objectState: objectState{version: o.Version, value: string(o.Value)}, unknown: err != nil}
	}
	o, err := api.Update(ctx, objectapi.Claims, "c", in.baseVersion, []byte(in.value))
	return result{
		objectState: objectState{version: o.Version, value: in.value}, conflict: fault.Is(err, fault.Conflict),
		unknown: err != nil && !fault.Is(err, fault.Conflict),
	}
}

// Guards against a client or a stand-in that loses, repeats or reorders conditional updates, also when answers are lost.
// Once-only claims depend on linearizable updates.
func TestConditionalUpdatesAreLinearizable(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		for _, name := range []string{"HTTP", "in process"} {
			store, apis := startStore(t)
			history := recordHistory(t, store, apis[name], seed)
			if got := porcupine.CheckOperationsTimeout(conditionalUpdateModel.ToModel(), history, time.Minute); got != porcupine.Ok {
				t.Errorf("%s, seed %d: %v", name, seed, got)
			}
		}
	}
}

// Guards against a checker that accepts every history: it must detect a read of an older state.
func TestCheckerFindsOlderReads(t *testing.T) {
	store, apis := startStore(t)
	history := recordHistory(t, store, apis["HTTP"], 1)
	if err := store.Set(t.Context(), standin.Switches{OlderReads: true}); err != nil {
		t.Fatal(err)
	}
	before := perform(t.Context(), apis["HTTP"], op{})
	after := perform(t.Context(), apis["HTTP"], op{write: true, baseVersion: before.version, value: "new"})
	for _, step := range []struct {
		in  op
		out result
	}{{op{}, before}, {op{write: true, baseVersion: before.version, value: "new"}, after}, {op{}, perform(t.Context(), apis["HTTP"], op{})}} {
		now := time.Now().UnixNano()
		history = append(history, porcupine.Operation{ClientId: 99, Input: step.in, Call: now, Output: step.out, Return: now + 1})
	}
	if after.version == 0 {
		t.Fatalf("the update gave %+v", after)
	}
	if got := porcupine.CheckOperationsTimeout(conditionalUpdateModel.ToModel(), history, time.Minute); got != porcupine.Illegal {
		t.Errorf("got %v", got)
	}
}
