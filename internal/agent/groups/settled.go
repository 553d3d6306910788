package groups

// AllRunning reports whether every group runs: none is held, being started or
// ending. A process that stops then leaves whole groups behind, which the next
// one adopts.
func (c *Core) AllRunning() bool {
	for _, g := range c.groups {
		if g.phase != phaseRunning {
			return false
		}
	}
	return true
}
