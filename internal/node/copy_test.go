package node

import (
	"io"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Guards against an invalid answer of a server that is examined as a sign of a crash, although the connection did not break.
func TestInvalidAnswerIsNoBrokenConnection(t *testing.T) {
	e := &exchange{ctx: t.Context()}
	e.recordBrokenCopy(sentCopy{}, backend.Result{Fate: call.MaybeRun, Err: fault.New(fault.BadBackend, "", "no answer")})
	if n := len(e.brokenCopies); n != 0 {
		t.Errorf("%d broken copies after an invalid answer", n)
	}
	e.recordBrokenCopy(sentCopy{}, backend.Result{Fate: call.MaybeRun, Err: io.ErrUnexpectedEOF})
	if n := len(e.brokenCopies); n != 1 {
		t.Errorf("%d broken copies after a broken connection", n)
	}
}
