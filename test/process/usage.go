package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// clockTick is the unit of CPU time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	CPU      time.Duration // user and system time
	RSSBytes int64
}

// Usage returns the CPU time so far and the current resident memory.
func (p *Process) Usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return Usage{}, errors.Trace(err)
	}
	// Of the fields after the command name in parentheses, utime is the 12th,
	// stime the 13th and rss (in pages) the 22nd.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var values [3]int64
	for i, n := range []int{11, 12, 21} {
		if values[i], err = strconv.ParseInt(fields[n], 10, 64); err != nil {
			return Usage{}, errors.Annotatef(err, "field %d of %sstat", n, dir)
		}
	}
	return Usage{
		CPU:      time.Duration(values[0]+values[1]) * clockTick,
		RSSBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}
