package gateway

// reason is the cause of a refusal. The code is part of a metric name; the text goes to the log and to the caller.
type reason struct{ code, text string }

// Reasons of refusals.
var (
	reasonUninformed   = reason{"uninformed", "no configuration or no backend server is known yet"}
	reasonOldRoutes    = reason{"old-routes", "no route is known and the configuration may be old"}
	reasonRouteRemoved = reason{"route-removed", "the route was removed while the request waited"}
	reasonBusy         = reason{"busy", "too many requests wait for a backend server"}
	reasonExpired      = reason{"expired", "time was over before a backend server was chosen"}
	reasonDeclined     = reason{"declined", "backend servers declined the request"}
	reasonBudget       = reason{"resend-budget", "resend budget is used up"}
	reasonCrashes      = reason{"crashes", "equal requests crashed backend servers"}
	reasonUnreachable  = reason{"unreachable", "no backend server can be reached"}
	reasonNoServer     = reason{"no-server", "no backend server is known that may run the request"}
	reasonNoRoom       = reason{"no-room", "no backend server has room"}
	reasonLate         = reason{"late", "no backend server is expected to finish in time"}
	reasonStopping     = reason{"stopping", "the instance stops before the request is expected to end"}
	reasonYields       = reason{"yields", "the answer would be late and more urgent requests need the room"}
)
