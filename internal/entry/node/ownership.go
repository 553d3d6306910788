package node

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/sched"
)

// Ownership reports whether this entry owns the cell, for the scheduler and for
// the removal of expired rows.
type Ownership struct {
	Owner *owner.Service
	Clock func() time.Duration
}

// Owns reports whether this entry owns the cell and can write.
func (o Ownership) Owns() bool {
	a := o.Owner.Current()
	return a.Owner && !a.StoreDown
}

// Authority returns the current ownership, without StartAfter, and for how long
// from now the previous owner's permissions may still be in use.
func (o Ownership) Authority() (sched.OwnerStatus, time.Duration) {
	a := o.Owner.Current()
	wait := max(0, a.StartAfter-o.Clock())
	return sched.OwnerStatus{Owner: a.Owner, Epoch: a.Epoch, StoreDown: a.StoreDown}, wait
}
