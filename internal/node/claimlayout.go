package node

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	// layoutName is the name of the object that holds a digest of the settings that determine where claims are stored.
	// It cannot collide with the name of a partition, which contains dots (r1.5.kochi.p3).
	layoutName = "layout"
	// layoutRetryInterval is the interval at which the object is read again after a failure or a mismatch.
	layoutRetryInterval = 2 * time.Second
)

// claimLayout is the task that compares the claims settings of this instance with those of the stored claims. With a
// different key or number of partitions, a resend would be looked up in a different place and could run again.
type claimLayout struct {
	api        objectapi.API
	wantDigest []byte
	log        *slog.Logger
	result     atomic.Pointer[layoutResult]
}

// layoutResult is the result of the last check. Err is nil if the settings match.
type layoutResult struct{ err error }

func newClaimLayout(settings ClaimSettings, api objectapi.API, log *slog.Logger) *claimLayout {
	mac := hmac.New(sha256.New, settings.Key)
	mac.Write([]byte("layout:" + strconv.Itoa(settings.Partitions)))
	return &claimLayout{api: api, wantDigest: mac.Sum(nil)[:16], log: log}
}

// run is the body of the task. It ends when the settings match.
func (l *claimLayout) run(ctx context.Context) error {
	retry := time.NewTicker(layoutRetryInterval)
	defer retry.Stop()
	for !l.check(ctx) {
		select {
		case <-retry.C:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// check compares the object with the settings and reports whether they match. The first instance creates the object.
func (l *claimLayout) check(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := l.api.Get(ctx, objectapi.Claims, layoutName)
	if fault.Is(err, fault.NotFound) {
		o, err = l.api.Create(ctx, objectapi.Claims, layoutName, l.wantDigest)
	}
	if err != nil {
		l.log.Warn("claims settings cannot be compared with the object API", "error", err)
		return false
	}
	if bytes.Equal(o.Value, l.wantDigest) {
		l.result.Store(&layoutResult{})
		return true
	}
	mismatch := fault.New(fault.NoClaimsKey,
		"set claims.key and claims.partitions as on the other instances; to change them, refuse once-only requests for the longest once_window, delete the object claims/"+layoutName+" and restart",
		"the claims settings of this instance differ from those that the stored claims were made with").MarkNotRun(0)
	l.log.Error("once-only requests are refused", "error", mismatch)
	l.result.Store(&layoutResult{err: mismatch})
	return false
}

// problem returns the reason why this instance must not claim, or nil. Claims are refused until the object was read once.
func (l *claimLayout) problem() error {
	s := l.result.Load()
	if s == nil {
		return notRecordedError()
	}
	return s.err
}
