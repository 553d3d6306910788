package exec

// HasRecord reports whether the core remembers an attempt. The caller of the core
// may drop the bodies of other attempts.
func (c *Core) HasRecord(ref Ref) bool {
	_, ok := c.records[ref]
	return ok
}
