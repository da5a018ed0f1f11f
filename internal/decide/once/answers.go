package once

import "fuchsiahub.example/fuchsiahub/internal/call"

// answers caches answers up to a size limit and evicts the oldest ones first.
type answers struct {
	limit  int
	bytes  int
	kept   map[Digest]*call.Answer
	oldest []Digest
}

// keptOverhead is the estimated size in bytes of a cached answer without its body and header fields.
const keptOverhead = 256

func newAnswers(limit int) *answers {
	return &answers{limit: limit, kept: map[Digest]*call.Answer{}}
}

func sizeOf(a *call.Answer) int {
	size := keptOverhead + len(a.Body)
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

func (a *answers) add(d Digest, answer *call.Answer) {
	if answer == nil || answer.Stream != nil || sizeOf(answer) > a.limit {
		return
	}
	a.remove(d)
	a.kept[d] = answer
	a.bytes += sizeOf(answer)
	a.oldest = append(a.oldest, d)
	a.trim()
}

// trim evicts the oldest answers until the rest fits, and drops list entries of answers that are already removed.
func (a *answers) trim() {
	for len(a.oldest) > 0 && (a.bytes > a.limit || a.kept[a.oldest[0]] == nil) {
		a.remove(a.oldest[0])
		a.oldest = a.oldest[1:]
	}
}

func (a *answers) remove(d Digest) {
	if answer, ok := a.kept[d]; ok {
		a.bytes -= sizeOf(answer)
		delete(a.kept, d)
	}
}
