package exec

// HasRecord reports whether the core remembers an attempt. The shell may drop the
// bodies of one that it does not.
func (c *Core) HasRecord(ref Ref) bool {
	_, ok := c.records[ref]
	return ok
}
