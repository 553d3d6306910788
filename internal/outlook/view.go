package outlook

import (
	"time"

	"github.com/juju/errors"
)

// The errors of View.Apply, beside NotValid for a malformed outlook.
const (
	// ErrFormerTerm is the error of an update with a lower token than one seen before.
	ErrFormerTerm = errors.ConstError("outlook of a former term")
	// ErrNotHeld is the error of a confirmation of an outlook that is not the last one.
	ErrNotHeld = errors.ConstError("confirmation of an outlook that is not held")
	// ErrClock is the error of an update according to which less time has passed at the
	// follower than at the owner: the follower's clock has stood still.
	ErrClock = errors.ConstError("less time has passed here than at the owner")
)

// maxClockLead is how far the owner's clock may run ahead of the follower's within one
// request. Clocks that differ by 0.1 % reach it after 50 s, which is above
// FollowLimit.
const maxClockLead = 50 * time.Millisecond

// FollowLimit is the time after which a follower makes a new request, so that the
// difference between the rates of the clocks does not add up.
const FollowLimit = 30 * time.Second

// Update is an update that a follower received. The times are by the owner's clock.
type Update struct {
	Outlook Outlook // only Token and Sequence if Unchanged is set
	// Unchanged confirms the outlook with this token and sequence.
	Unchanged    bool
	SinceRequest time.Duration // from the request until the update was sent
	Ages         Ages          // when the update was sent
}

// View is what an entry knows of the owner's outlook. Times are on the entry's clock.
// The zero value knows nothing.
type View struct {
	highestToken uint64
	current      *Outlook
	builtAt      time.Duration
	confirmedAt  time.Duration
}

// Apply applies an update that arrived the given time after the request. The update
// was under way for at most the difference of the times since the request.
func (v *View) Apply(u Update, sinceRequest, now time.Duration) error {
	transit := sinceRequest - u.SinceRequest
	switch {
	case u.Outlook.Token < v.highestToken:
		return errors.Annotatef(ErrFormerTerm, "token %d after %d", u.Outlook.Token, v.highestToken)
	case u.SinceRequest < 0 || u.Ages.Built < 0 || u.Ages.Confirmed < 0 || u.Ages.Confirmed > u.Ages.Built:
		return errors.NotValidf("update with times %v, %+v", u.SinceRequest, u.Ages)
	case transit < -maxClockLead:
		return errors.Annotatef(ErrClock, "%v since the request, %v at the owner", sinceRequest, u.SinceRequest)
	}
	confirmedAt := now - max(0, transit) - u.Ages.Confirmed
	if u.Unchanged {
		return v.confirm(u, confirmedAt)
	}
	if err := u.Outlook.Validate(); err != nil {
		return errors.Trace(err)
	}
	v.highestToken = u.Outlook.Token
	v.current = &u.Outlook
	v.builtAt, v.confirmedAt = now-max(0, transit)-u.Ages.Built, confirmedAt
	return nil
}

func (v *View) confirm(u Update, at time.Duration) error {
	if v.current == nil || v.current.Token != u.Outlook.Token || v.current.Sequence != u.Outlook.Sequence {
		return errors.Annotatef(ErrNotHeld, "token %d, sequence %d", u.Outlook.Token, u.Outlook.Sequence)
	}
	v.confirmedAt = max(v.confirmedAt, at)
	return nil
}

// Raise records the token of a term that the entry knows by other means. A held
// outlook with a lower one is dropped.
func (v *View) Raise(token uint64) {
	v.highestToken = max(v.highestToken, token)
	if v.current != nil && v.current.Token < v.highestToken {
		v.current = nil
	}
}

// Current returns the outlook with its ages, nil if there is none.
func (v *View) Current(now time.Duration) (*Outlook, Ages) {
	if v.current == nil {
		return nil, Ages{}
	}
	return v.current, Ages{Built: now - v.builtAt, Confirmed: now - v.confirmedAt}
}
