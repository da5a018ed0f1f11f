package gateway

import (
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/memory"
)

const (
	// bodyShare is the share of the memory of the process that the bodies of requests may take together. The rest is for
	// garbage that is not collected yet, answers and all other work.
	bodyShare = 0.35
	// pipelinedShare is the share for requests that wait behind others of their connection.
	pipelinedShare = 0.15
	// pipelinedBytes is the memory of such a request: its task and an answer that is not streamed.
	pipelinedBytes = backend.MaxBufferedAnswerBytes + 16<<10
)

// newBodyBudget returns the budget of the bodies and long heads of a process with the memory, in bytes; zero sets no limit.
func newBodyBudget(bytes int64) *memory.Budget {
	return memory.NewBudget(int64(bodyShare * float64(bytes)))
}

// newPipelinedBudget returns the budget of the requests that wait behind others of their connection. When it is used up, a
// connection takes up a further request only after an answer; none is refused.
func newPipelinedBudget(bytes int64) *memory.Budget {
	return memory.NewBudget(int64(pipelinedShare * float64(bytes)))
}
