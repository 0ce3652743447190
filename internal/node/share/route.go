package share

// RouteReason is why a route opens or closes.
type RouteReason string

// Reasons of the node that owns the budget of a server, and of the nodes that watch it.
const (
	RouteComplete        RouteReason = "every member host reports the group"
	RouteMemberMissing   RouteReason = "a member host is missing from the load report"
	RouteOtherGroup      RouteReason = "a member host reports another group"
	RouteOtherGeneration RouteReason = "member hosts report different generations"
	RouteNoReport        RouteReason = "the load report cannot be read"
	RouteByOwner         RouteReason = "the owner of its budget says so"
	RouteStale           RouteReason = "no news of it within the longest age"
)

// RouteChange is what a node makes of the route to a backend server.
type RouteChange struct {
	Server string
	Open   bool
	Reason RouteReason
	// Host is the member host that the reason is about, or "".
	Host string
}

// judged tells of a change of what the owner makes of a route. o.mu is held.
func (s *Shares) judged(o *owned, c RouteChange) {
	c.Server = o.name
	if c != o.state {
		o.state = c
		s.deps.Route(c)
	}
}
