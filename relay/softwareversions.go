package relay

// Targets of several software versions may serve side by side in one pool. A stream may only go on at the version that
// began it.

// allowsTarget reports whether the request is bound to other regions or another software version than a target's.
func (c *TargetCriteria) allowsTarget(t *Target) bool {
	return c.AllowedRegions.Allows(t.Spec.Region) && (c.Software == "" || c.Software == t.Spec.Software)
}

// ServesVersion reports whether a pool has a target that may get a request with these criteria, regardless of its load.
func (f *Fleet) ServesVersion(pool string, w TargetCriteria) bool {
	p := f.pool(pool)
	if p == nil {
		return false
	}
	p.lock()
	defer p.mu.Unlock()
	for _, t := range p.list {
		if !t.closed() && w.allowsTarget(t) {
			return true
		}
	}
	return false
}
