package joblog

import "time"

const (
	// maxHours limits the hours of which lines are kept, and maxLoneLines the lines that
	// wait for another one of about their time.
	maxHours     = 100_000
	maxLoneLines = 256
)

// dates tells lines with a damaged date from others: no other line has about their time.
// A single one would stretch the time of all jobs over years.
type dates struct {
	seen    map[int64]bool // the hours of lines that were admitted
	lone    map[int64]line // the only line of its hour and the two beside it
	dropped int            // beyond the limits
}

func newDates() dates { return dates{seen: map[int64]bool{}, lone: map[int64]line{}} }

// admit returns the lines that count now: the given one and earlier ones that it confirms,
// or none while it is alone.
func (d *dates) admit(l line) []line {
	hour := l.Time.Unix() / int64(time.Hour/time.Second)
	if len(d.seen) >= maxHours && !d.seen[hour] {
		d.dropped++
		return nil
	}
	for h := hour - 1; h <= hour+1; h++ {
		if _, lone := d.lone[h]; d.seen[h] || lone {
			d.seen[hour] = true
			return append(d.release(hour), l)
		}
	}
	if len(d.lone) >= maxLoneLines {
		d.dropped++
		return nil
	}
	d.lone[hour] = l
	return nil
}

// release returns the lone lines that an admitted hour confirms.
func (d *dates) release(hour int64) []line {
	var out []line
	for h := hour - 1; h <= hour+1; h++ {
		if l, lone := d.lone[h]; lone {
			delete(d.lone, h)
			d.seen[h] = true
			out = append(append(out, l), d.release(h)...)
		}
	}
	return out
}

// rest returns the only line, if there is no other.
func (d *dates) rest() []line {
	if len(d.seen) > 0 || len(d.lone) != 1 {
		return nil
	}
	for hour, l := range d.lone {
		delete(d.lone, hour)
		d.seen[hour] = true
		return []line{l}
	}
	return nil
}

// leftOut returns the number of lines that were not admitted.
func (d *dates) leftOut() int { return len(d.lone) + d.dropped }
