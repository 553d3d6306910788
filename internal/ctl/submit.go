package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/google/uuid"
	"github.com/juju/errors"
)

// Retries of a submission without a response.
const (
	submitAttempts      = 5
	submitRetryInterval = 500 * time.Millisecond
)

type submitFlags struct {
	job         api.JobRequest
	adjacency   string
	declaredRun time.Duration
	deadline    string
	data        string
	file        string
	key         string
	wait        bool
	maxWait     time.Duration
	// flagSet is the set that the flags are registered on.
	flagSet *flag.FlagSet
}

func (s *submitFlags) register(f *flag.FlagSet) {
	s.flagSet = f
	f.StringVar(&s.job.Profile, "profile", "", "`NAME` of the profile (required)")
	f.IntVar(&s.job.Gang.Tasks, "tasks", 1, "`N` tasks, which run together or not at all")
	f.IntVar(&s.job.Gang.PerTask.Accelerators, "accelerators", 0, "`N` accelerators for each task")
	f.IntVar(&s.job.Gang.PerTask.MilliCPU, "milli-cpu", 1000, "`N` thousandths of a core for each task")
	f.IntVar(&s.job.Gang.PerTask.MemoryMB, "memory-mb", 1024, "`N` megabytes for each task")
	f.StringVar(&s.adjacency, "adjacency", string(api.AdjacentZone), "`PART` of the fleet that holds the whole gang: worker, rack or zone")
	f.BoolVar(&s.job.Idempotent, "idempotent", false, "the job may run more than once")
	f.BoolVar(&s.job.Checkpointable, "checkpointable", false, "the job can go on from a checkpoint")
	f.DurationVar(&s.declaredRun, "declared-run", 0, "`DURATION` that the job is expected to run")
	f.StringVar(&s.deadline, "deadline", "", "`TIME` in RFC 3339, or a duration from now, after which the job is of no use")
	f.StringVar(&s.data, "data", "", "`JSON` payload for the tasks")
	f.StringVar(&s.file, "file", "", "`FILE` with the JSON payload (\"-\" is the standard input)")
	f.StringVar(&s.key, "key", "", "idempotency `KEY`; the same key always gives the same job (default: a new one)")
	f.BoolVar(&s.wait, "wait", false, "wait for the end of the job; the exit code tells its outcome")
	addMaxWaitFlag(f, &s.maxWait)
}

func submitCommand(e *env) *command {
	flags := &submitFlags{}
	return &command{
		name: "submit", arguments: "[JOB-FILE]", maxArgs: 1,
		synopsis: "submit a job, described by flags or by a JSON file (\"-\" is the standard input)",
		example: "  coltsfootctl jobs submit --profile reconstruction --tasks 4 --accelerators 2 \\\n" +
			"    --adjacency rack --declared-run 40m --checkpointable --data '{\"night\": \"2026-02-01\"}' --wait\n" +
			"  coltsfootctl jobs submit --key night-2026-02-01 job.json",
		flags: flags.register,
		run:   func(ctx context.Context, args []string) error { return e.submit(ctx, flags, args) },
	}
}

func (e *env) submit(ctx context.Context, flags *submitFlags, files []string) error {
	job, err := e.jobToSubmit(flags, files)
	if err != nil {
		return err
	}
	key := flags.key
	if key == "" {
		key = uuid.NewString()
	}
	record, err := e.submitWithRetries(ctx, job, key)
	if err != nil {
		return errors.Annotatef(err, "job with key %s", key)
	}
	if flags.wait {
		return e.waitForJob(ctx, record.Job.ID, flags.maxWait)
	}
	return e.printJob(record)
}

func (e *env) jobToSubmit(flags *submitFlags, files []string) (api.JobRequest, error) {
	if len(files) == 0 {
		return e.jobFromFlags(flags, time.Now())
	}
	if flags.describesJob() {
		return api.JobRequest{}, usagef("a job file and flags that describe the job exclude each other")
	}
	return readJSONFile[api.JobRequest](e, files[0])
}

// describesJob reports whether a flag that describes the job was given.
func (s *submitFlags) describesJob() bool {
	found := false
	s.flagSet.Visit(func(f *flag.Flag) {
		switch f.Name {
		case "entry", "json", "timeout", "key", "wait", "for":
		default:
			found = true
		}
	})
	return found
}

func (e *env) jobFromFlags(flags *submitFlags, now time.Time) (api.JobRequest, error) {
	job := flags.job
	if job.Profile == "" {
		return job, usagef("--profile is required")
	}
	switch a := api.Adjacency(flags.adjacency); a {
	case api.AdjacentWorker, api.AdjacentRack, api.AdjacentZone:
		job.Gang.Adjacency = a
	default:
		return job, usagef("--adjacency %q is not worker, rack or zone", flags.adjacency)
	}
	payload, err := e.inlineOrFile(flags.data, flags.file)
	if err != nil {
		return job, err
	}
	if len(payload) > 0 && !json.Valid(payload) {
		return job, usagef("payload is not valid JSON")
	}
	job.Payload = payload
	job.DeclaredRun = api.Duration(flags.declaredRun)
	job.Deadline, err = parseDeadline(flags.deadline, now)
	return job, err
}

func parseDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d).UTC(), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usagef("--deadline %q is neither a time in RFC 3339 nor a duration", text)
	}
	return t, nil
}

// submitWithRetries retries a submission that was not received or whose effect is
// unknown. Retries are safe, as the same key always gives the same job.
func (e *env) submitWithRetries(ctx context.Context, job api.JobRequest, key string) (api.JobRecord, error) {
	c := e.client()
	for attempt := 1; ; attempt++ {
		record, err := c.SubmitJob(ctx, job, key)
		if err == nil || attempt == submitAttempts {
			return record, err
		}
		if code := exitCode(err); code != ExitUnreachable && code != ExitOutcomeUnknown {
			return record, err
		}
		if sleep(ctx, submitRetryInterval) != nil {
			return record, err
		}
	}
}
