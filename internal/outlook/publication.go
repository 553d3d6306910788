package outlook

import (
	"slices"
	"time"
)

const (
	// BuildInterval is the shortest time between two builds of an outlook.
	BuildInterval = 250 * time.Millisecond
	// ConfirmInterval is the time after which an unchanged outlook is confirmed. Two
	// confirmations may be lost before it is stale.
	ConfirmInterval = 500 * time.Millisecond
	// ChangeThreshold and changeFraction are the changes of a start time that are sent;
	// either suffices. Decide subtracts ChangeThreshold from each bound, since a bound
	// may have fallen by that much without a new outlook.
	ChangeThreshold = 250 * time.Millisecond
	changeFraction  = 0.2
)

// Publication is the outlook that an owner publishes.
type Publication struct {
	current     *Outlook
	builtAt     time.Duration
	confirmedAt time.Duration
}

// Offer publishes a new outlook if it differs enough from the one published before, and
// otherwise confirms that one. It sets the sequence of o.
func (p *Publication) Offer(o *Outlook, now time.Duration) (changed bool) {
	p.confirmedAt = now
	if p.current != nil && !p.current.differs(o, now-p.builtAt) {
		return false
	}
	o.Sequence = 1
	if p.current != nil {
		o.Sequence = p.current.Sequence + 1
	}
	p.current, p.builtAt = o, now
	return true
}

// Current returns the published outlook, nil if there is none yet.
func (p *Publication) Current(now time.Duration) (*Outlook, Ages) {
	if p.current == nil {
		return nil, Ages{}
	}
	return p.current, Ages{Built: now - p.builtAt, Confirmed: now - p.confirmedAt}
}

// differs reports whether an outlook that is built later by the given time has to be
// sent: a start time has changed by more than one of the thresholds, a run time by more
// than changeFraction, or a guarantee or pool at all. The use of a guarantee changes
// often and decides nothing, so that it is sent with other changes.
func (o *Outlook) differs(n *Outlook, later time.Duration) bool {
	return o.startsDiffer(n, later) || o.runTimesDiffer(n) || !slices.Equal(o.Pools, n.Pools) ||
		!slices.EqualFunc(o.Guarantees, n.Guarantees, func(a, b Guarantee) bool { return a.Account == b.Account && a.Guaranteed == b.Guaranteed })
}

func (o *Outlook) startsDiffer(n *Outlook, later time.Duration) bool {
	for _, s := range o.Starts {
		if startDiffers(max(0, s.Delay-later), n.delayOf(s.Kind)) {
			return true
		}
	}
	for _, s := range n.Starts {
		if startDiffers(max(0, o.delayOf(s.Kind)-later), s.Delay) {
			return true
		}
	}
	return false
}

// delayOf returns the bound of exactly this kind, 0 if there is none.
func (o *Outlook) delayOf(k Kind) time.Duration {
	i := slices.IndexFunc(o.Starts, func(s Start) bool { return s.Kind == k })
	if i < 0 {
		return 0
	}
	return o.Starts[i].Delay
}

func startDiffers(before, after time.Duration) bool {
	change := (after - before).Abs()
	return change > ChangeThreshold || change > time.Duration(changeFraction*float64(before)) && change > resolution
}

func (o *Outlook) runTimesDiffer(n *Outlook) bool {
	return !slices.EqualFunc(o.RunTimes, n.RunTimes, func(a, b RunTime) bool {
		return a.Queue == b.Queue && (b.Longest-a.Longest).Abs() <= time.Duration(changeFraction*float64(a.Longest))
	})
}
