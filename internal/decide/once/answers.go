package once

import "fuchsiahub.example/fuchsiahub/internal/call"

// answers keeps answers up to a number of bytes and drops the oldest ones above it.
type answers struct {
	limit  int
	bytes  int
	kept   map[Digest]*call.Answer
	oldest []Digest
}

// keptOverhead is an estimate of the bytes of a kept answer besides its body and header text.
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

// trim drops the oldest answers above the limit, and the places of answers that were removed before.
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
