package exec

// Known reports whether the core remembers an attempt. The shell may drop the
// bodies of one that it does not.
func (c *Core) Known(ref Ref) bool {
	_, ok := c.records[ref]
	return ok
}
