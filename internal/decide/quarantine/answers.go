package quarantine

import "time"

const (
	// AnswerMemory is the time before a crash within which an answer to an equal request shows that the request was not the
	// cause. A request that crashes servers is never answered, so the memory only delays the containment of one that began
	// to do so just now.
	AnswerMemory = 10 * time.Second
	// maxAnswers bounds the answers of one generation.
	maxAnswers = 1024
)

// answerLog holds the fingerprints of recently answered requests in two generations. A fingerprint is kept for at least
// AnswerMemory, unless so many others are answered that a generation is full earlier.
type answerLog struct {
	recent, older map[Fingerprint]time.Time
	rotatedAt     time.Time
}

func newAnswerLog() *answerLog {
	return &answerLog{recent: map[Fingerprint]time.Time{}, older: map[Fingerprint]time.Time{}}
}

func (l *answerLog) record(now time.Time, f Fingerprint) {
	if len(l.recent) >= maxAnswers || now.Sub(l.rotatedAt) > AnswerMemory {
		l.recent, l.older, l.rotatedAt = map[Fingerprint]time.Time{}, l.recent, now
	}
	l.recent[f] = now
}

// contradicts reports whether an equal request was answered shortly before the crash of the strike or after it.
func (l *answerLog) contradicts(s Strike) bool {
	at, known := l.recent[s.Fingerprint]
	if !known {
		at, known = l.older[s.Fingerprint]
	}
	return known && s.Crash.At.Sub(at) < AnswerMemory
}
