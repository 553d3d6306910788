// Package joblog reads the structured log lines of coltsfootlug's processes and tells
// where the time of each job went. It does no I/O but for reading.
package joblog

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// The messages and decisions of log lines that tell of jobs.
const (
	messageStarted  = "started"
	messageRequest  = "request"
	messageDecision = "decision"
	messageTerm     = "scheduling term began"
	// Of agents: the first heartbeat of a worker's incarnation.
	messageAnnounced = "worker announced"
	messageTermOver  = "scheduling term ended"
	// Of agents: a start that its worker refused or did not answer.
	messageStartFailed = "start order failed or has unknown outcome"
	messageUnsettled   = "order of a run is not settled"
	// Of owners: saves of a job's progress that do not succeed.
	messageSaveRetried  = "failed to save job progress; retrying"
	messageSaveRejected = "job progress cannot be stored"
	messageJobSkipped   = "job skipped: a row of it cannot be decoded"

	verbSubmit = "submit"
	outcomeOK  = "ok"
)

// line holds the fields of a log line that tell of jobs. Unknown fields are ignored.
type line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"id"`
	Zone    string    `json:"zone"`
	Message string    `json:"message"`

	// Of requests.
	Verb    string `json:"verb"`
	Outcome string `json:"outcome"`
	Queue   string `json:"queue"`
	Account string `json:"account"`

	// Of decisions and terms.
	Epoch    uint64 `json:"epoch"`
	Token    uint64 `json:"token"`
	Job      string `json:"job"`
	What     string `json:"what"`
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Worker   string `json:"worker"`
	Instance string `json:"instance"`
	Detail   string `json:"detail"`

	// Of placements, starts, stops and ends.
	Tasks        int    `json:"tasks"`
	Accelerators int    `json:"accelerators"`
	MilliCPU     int    `json:"milli_cpu"`
	Checkpoint   string `json:"checkpoint"`
	Reason       string `json:"reason"`

	Error string `json:"error"`
}

// parseLine decodes a log line. What stands before its first brace, such as the prefix
// of a log collector, is ignored.
func parseLine(text []byte) (line, error) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return line{}, errors.NotValidf("line without a JSON object")
	}
	var l line
	if err := json.Unmarshal(text[begin:], &l); err != nil {
		return line{}, errors.NewNotValid(err, "malformed log line")
	}
	if l.Time.IsZero() || l.Message == "" {
		return line{}, errors.NotValidf("log line without time or message")
	}
	return l, nil
}
