package daemon

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/ops"
)

// statusSource provides the data that the operations endpoints return.
type statusSource struct{ daemon *Daemon }

// Ready reports whether the platform's load balancer should send requests to this instance.
func (s *statusSource) Ready() ops.Readiness {
	status := s.daemon.lifecycle.Status()
	readiness := ops.Readiness{Ready: status.Ready}
	if !status.Ready {
		readiness.Reason = status.Reason
	}
	return readiness
}

// WriteMetrics writes the metrics as text, one line per value.
func (s *statusSource) WriteMetrics(w io.Writer) error { return s.daemon.metrics.WriteText(w) }

// State returns the state of the instance: documents, services, members, keepers and counters.
func (s *statusSource) State(r *http.Request) (any, error) {
	d := s.daemon
	status := d.lifecycle.Status()
	state := ops.State{
		Instance: d.self.Name, Region: d.self.Region, Zone: d.self.Zone, Incarnation: d.self.Incarnation,
		State: status.State, Ready: status.Ready, Documents: []ops.Document{}, Rejected: []ops.RejectedDocument{},
		Services: serviceStatuses(r.Context(), d.directory), Members: []ops.Member{}, Keepers: []ops.Keeper{}, Counters: d.metrics.Counters(),
	}
	if !status.Ready {
		state.Reason = status.Reason
	}
	s.addDocuments(&state)
	s.addMembers(&state)
	s.addKeepers(&state)
	return state, nil
}

func (s *statusSource) addDocuments(state *ops.State) {
	for _, doc := range s.daemon.config.Status().Documents {
		if doc.Version > 0 {
			state.Documents = append(state.Documents, ops.Document{Kind: doc.Kind, Name: doc.Name, Version: doc.Version})
		}
		if doc.Rejected > 0 {
			state.Rejected = append(state.Rejected, ops.RejectedDocument{
				Kind: doc.Kind, Name: doc.Name, Version: doc.Rejected, InForce: doc.Version, Message: doc.Reason,
			})
		}
	}
}

func (s *statusSource) addMembers(state *ops.State) {
	for _, m := range s.daemon.view().Members {
		member := ops.Member{Instance: m.Name, Incarnation: m.Incarnation, Region: m.Region, Zone: m.Zone, State: m.Condition}
		if !m.HeartbeatAt.IsZero() && m.Name != s.daemon.self.Name {
			member.HeartbeatAgeMs = time.Since(m.HeartbeatAt).Milliseconds()
		}
		state.Members = append(state.Members, member)
	}
}

func (s *statusSource) addKeepers(state *ops.State) {
	for key, owner := range s.daemon.keeper.Owners() {
		state.Keepers = append(state.Keepers, ops.Keeper{Service: key.Service, Zone: key.Zone, Instance: owner})
	}
	slices.SortFunc(state.Keepers, func(a, b ops.Keeper) int {
		return strings.Compare(a.Service+" "+a.Zone, b.Service+" "+b.Zone)
	})
}

// serviceStatuses returns the status of each service task, sorted by name. A task that ends during the call is omitted.
func serviceStatuses(ctx context.Context, directory *node.Directory) []node.ServiceStatus {
	list := []node.ServiceStatus{}
	for _, entry := range directory.Entries() {
		if status, err := entry.Task.Status(ctx); err == nil {
			list = append(list, status)
		}
	}
	slices.SortFunc(list, func(a, b node.ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	return list
}
