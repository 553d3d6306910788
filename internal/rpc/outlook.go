package rpc

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/outlook"
)

// OutlookUpdateOf returns the message of an update. It leaves out the last starts if the
// message would exceed outlook.MaxBytes otherwise; a start that is left out refuses
// nothing.
func OutlookUpdateOf(u outlook.Update) *OutlookUpdate {
	out := &OutlookUpdate{
		Token:          u.Outlook.Token,
		Sequence:       u.Outlook.Sequence,
		SinceRequestMs: u.SinceRequest.Milliseconds(),
		AgeMs:          millisecondsUp(u.Ages.Confirmed),
		BuiltAgeMs:     millisecondsUp(u.Ages.Built),
		Unchanged:      u.Unchanged,
	}
	if u.Unchanged {
		return out
	}
	for _, s := range u.Outlook.Starts {
		out.Starts = append(out.Starts, earliestStartOf(s))
	}
	for _, g := range u.Outlook.Guarantees {
		out.Guarantees = append(out.Guarantees, &GuaranteeUse{Account: g.Account, Guaranteed: int64(g.Guaranteed), Used: int64(g.Used)})
	}
	for _, r := range u.Outlook.RunTimes {
		out.RunTimes = append(out.RunTimes, &QueueRunTime{Queue: r.Queue, LongestMs: millisecondsUp(r.Longest)})
	}
	for _, p := range u.Outlook.Pools {
		out.Pools = append(out.Pools, &PoolSize{Pool: p.Name, Accelerators: int64(p.Accelerators)})
	}
	for len(out.Starts) > 0 && proto.Size(out) > outlook.MaxBytes {
		out.Starts = out.Starts[:len(out.Starts)-1]
	}
	return out
}

func earliestStartOf(s outlook.Start) *EarliestStart {
	return &EarliestStart{
		Pool:         s.Pool,
		Priority:     int32(s.Priority),
		MilliCpu:     int64(s.Needs.MilliCPU),
		MemoryMb:     int64(s.Needs.MemoryMB),
		Accelerators: int64(s.Needs.Accelerators),
		RunTimeMs:    millisecondsUp(s.RunTime),
		ObjectiveMs:  millisecondsUp(s.Objective),
		DelayMs:      s.Delay.Milliseconds(),
	}
}

// millisecondsUp rounds up, which makes ages and the conditions of a bound stricter.
func millisecondsUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// maxUpdateMs is the highest time that an update may carry. Higher values overflow a
// duration.
const maxUpdateMs = int64(24 * time.Hour / time.Millisecond)

// UpdateOf converts a received update. It returns a NotValid error if a value is out of
// range; outlook.View checks the rest.
func UpdateOf(m *OutlookUpdate) (outlook.Update, error) {
	if proto.Size(m) > outlook.MaxBytes {
		return outlook.Update{}, errors.NotValidf("outlook of %d bytes", proto.Size(m))
	}
	r := &durations{}
	u := outlook.Update{
		Outlook:      outlook.Outlook{Token: m.Token, Sequence: m.Sequence},
		Unchanged:    m.Unchanged,
		SinceRequest: r.of(m.SinceRequestMs),
		Ages:         outlook.Ages{Built: r.of(m.BuiltAgeMs), Confirmed: r.of(m.AgeMs)},
	}
	for _, s := range m.Starts {
		u.Outlook.Starts = append(u.Outlook.Starts, outlook.Start{Delay: r.of(s.GetDelayMs()), Kind: outlook.Kind{
			Pool:      s.GetPool(),
			Priority:  int(s.GetPriority()),
			Needs:     graph.Resources{MilliCPU: int(s.GetMilliCpu()), MemoryMB: int(s.GetMemoryMb()), Accelerators: int(s.GetAccelerators())},
			RunTime:   r.of(s.GetRunTimeMs()),
			Objective: r.of(s.GetObjectiveMs()),
		}})
	}
	for _, g := range m.Guarantees {
		u.Outlook.Guarantees = append(u.Outlook.Guarantees, outlook.Guarantee{Account: g.GetAccount(), Guaranteed: int(g.GetGuaranteed()), Used: int(g.GetUsed())})
	}
	for _, t := range m.RunTimes {
		u.Outlook.RunTimes = append(u.Outlook.RunTimes, outlook.RunTime{Queue: t.GetQueue(), Longest: r.of(t.GetLongestMs())})
	}
	for _, p := range m.Pools {
		u.Outlook.Pools = append(u.Outlook.Pools, outlook.Pool{Name: p.GetPool(), Accelerators: int(p.GetAccelerators())})
	}
	if r.outOfRange {
		return outlook.Update{}, errors.NotValidf("outlook with a time out of range")
	}
	return u, nil
}

// durations converts milliseconds and remembers whether any were out of range.
type durations struct{ outOfRange bool }

func (d *durations) of(ms int64) time.Duration {
	if ms < 0 || ms > maxUpdateMs {
		d.outOfRange = true
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
