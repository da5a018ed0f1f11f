package once

import "fuchsiahub.example/fuchsiahub/internal/call"

// answerCache holds answers up to a size limit and evicts the oldest ones first.
type answerCache struct {
	maxBytes    int
	usedBytes   int
	byDigest    map[Digest]*call.Answer
	oldestFirst []Digest
}

// answerOverhead is the estimated size in bytes of a cached answer without its body and header fields.
const answerOverhead = 256

func newAnswerCache(limit int) *answerCache {
	return &answerCache{maxBytes: limit, byDigest: map[Digest]*call.Answer{}}
}

func answerSize(a *call.Answer) int {
	size := answerOverhead + len(a.Body)
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

func (a *answerCache) add(d Digest, answer *call.Answer) {
	if answer == nil || answer.Stream != nil || answerSize(answer) > a.maxBytes {
		return
	}
	a.remove(d)
	a.byDigest[d] = answer
	a.usedBytes += answerSize(answer)
	a.oldestFirst = append(a.oldestFirst, d)
	a.trim()
}

// trim evicts the oldest answers until the rest fits, and drops list entries of answers that are already removed.
func (a *answerCache) trim() {
	for len(a.oldestFirst) > 0 && (a.usedBytes > a.maxBytes || a.byDigest[a.oldestFirst[0]] == nil) {
		a.remove(a.oldestFirst[0])
		a.oldestFirst = a.oldestFirst[1:]
	}
}

func (a *answerCache) remove(d Digest) {
	if answer, ok := a.byDigest[d]; ok {
		a.usedBytes -= answerSize(answer)
		delete(a.byDigest, d)
	}
}
