package groups

// AllRunning reports whether every group is running: none is held or ending. An
// agent that stops in this state leaves complete groups on the worker, which
// its next process adopts.
func (c *Core) AllRunning() bool {
	for _, g := range c.groups {
		if g.phase != phaseRunning {
			return false
		}
	}
	return true
}
