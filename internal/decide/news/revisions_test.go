package news_test

import (
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/decide/news"
)

// Guards against a kind that counts as current although a change of it may have been missed, and against one that is read
// again although all changes are known.
func TestCoveredRevisions(t *testing.T) {
	r := news.NewRevisions()
	if r.Covers("config", 1) {
		t.Error("a kind that was never read is covered")
	}
	r.Known("config", 10)
	if !r.Covers("config", 10) || r.Covers("config", 11) {
		t.Error("a kind is not covered up to the revision at which it was read")
	}
	r.Explain(12)
	if r.Covers("config", 12) {
		t.Error("a kind is covered beyond a revision that nothing explains")
	}
	r.Explain(11)
	if !r.Covers("config", 12) || r.Covers("config", 13) {
		t.Error("a kind is not covered although all revisions are known changes")
	}
	for revision := range uint64(10000) {
		r.Explain(20 + revision)
	}
	if r.Covers("config", 10019) {
		t.Error("a kind is covered beyond a revision that nothing explains, after many changes")
	}
	r.Known("config", 10018)
	if !r.Covers("config", 10019) {
		t.Error("a kind is not covered after it was read again")
	}
	r.Forget("config")
	r.Known("config", 0)
	if r.Covers("config", 1) {
		t.Error("a kind that was forgotten is covered")
	}
}
