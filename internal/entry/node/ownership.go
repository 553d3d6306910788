package node

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/sched"
)

// Ownership gives the scheduler its standing as owner of the cell.
type Ownership struct {
	Owner *owner.Service
	Clock func() time.Duration
}

// Owns reports whether this entry owns the cell and can write.
func (o Ownership) Owns() bool {
	a := o.Owner.Current()
	return a.Owner && !a.StoreDown
}

// Authority returns the present standing and how long from now the earlier
// owner's permissions may still be in use.
func (o Ownership) Authority() (sched.OwnerStatus, time.Duration) {
	a := o.Owner.Current()
	wait := max(0, a.StartAfter-o.Clock())
	return sched.OwnerStatus{Owner: a.Owner, Epoch: a.Epoch, StoreDown: a.StoreDown}, wait
}
