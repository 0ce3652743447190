package share

// RouteReason is why a route was opened or closed.
type RouteReason string

// Reasons that the owner of a server's budget or a node that watches the server reports.
const (
	RouteComplete        RouteReason = "every member host reports the group"
	RouteMemberMissing   RouteReason = "a member host is missing from the load report"
	RouteOtherGroup      RouteReason = "a member host reports another group"
	RouteOtherGeneration RouteReason = "member hosts report different generations"
	RouteNoReport        RouteReason = "the load report cannot be read"
	RouteByOwner         RouteReason = "the owner of its budget says so"
	RouteStale           RouteReason = "no news of it within the longest age"
)

// RouteChange is a change of the route to a backend server as one node sees it. Grants for a server are issued
// only while its owner considers the route open.
type RouteChange struct {
	Server string
	Open   bool
	Reason RouteReason
	// Host is the member host that the reason refers to, or "".
	Host string
}

// reportRoute calls Deps.RouteChanged if the owner's state of a route has changed. The caller must hold o.mu.
func (s *Shares) reportRoute(o *serverBudget, c RouteChange) {
	c.Server = o.name
	if c != o.lastRoute {
		o.lastRoute = c
		s.deps.RouteChanged(c)
	}
}
