package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/google/uuid"
	"github.com/juju/errors"
)

const defaultRequestTimeout = 30 * time.Second

type requestFlags struct {
	request client.Request
	data    string
	file    string
}

func (r *requestFlags) register(f *flag.FlagSet) {
	f.StringVar(&r.request.Profile, "profile", "", "`NAME` of the profile (required)")
	f.StringVar(&r.request.Key, "key", "", "idempotency `KEY`; the same key always meets the same execution (default: a new one)")
	f.BoolVar(&r.request.Idempotent, "idempotent", false, "the request may run more than once")
	f.DurationVar(&r.request.Timeout, "for", defaultRequestTimeout, "`DURATION` that the request may take")
	f.StringVar(&r.request.ContentType, "content-type", "application/json", "media `TYPE` of the body")
	f.StringVar(&r.data, "data", "", "`TEXT` to send as the body")
	f.StringVar(&r.file, "file", "", "`FILE` to send as the body (\"-\" is the standard input)")
}

func requestCommand(e *env) *command {
	flags := &requestFlags{}
	return &command{
		env: e, path: "request", name: "request", arguments: "SERVICE", minArgs: 1, maxArgs: 1,
		synopsis: "send one request to a service and print its complete answer",
		example: "  coltsfootctl request assessment --profile survey --idempotent --data '{\"tree\": 17}'\n" +
			"  coltsfootctl request assessment --profile consent --key consent-2031 --file finding.json",
		flags: flags.register,
		run: func(ctx context.Context, args []string) error {
			flags.request.Service = args[0]
			return e.sendRequest(ctx, flags)
		},
	}
}

func (e *env) sendRequest(ctx context.Context, flags *requestFlags) error {
	r := flags.request
	if r.Profile == "" {
		return usagef("--profile is required")
	}
	body, err := e.inlineOrFile(flags.data, flags.file)
	if err != nil {
		return err
	}
	r.Body = body
	if r.Key == "" {
		r.Key = uuid.NewString()
	}
	response, err := e.client().Request(ctx, r)
	if err != nil {
		return errors.Annotatef(err, "request with key %s", r.Key)
	}
	if err := e.printResponse(response); err != nil {
		return err
	}
	if response.Outcome == api.OutcomeDone && response.Status >= http.StatusBadRequest {
		return errors.Errorf("service answered with status %d", response.Status)
	}
	return checkOutcome("request with key "+r.Key, response.Outcome, "")
}

// responseDocument is the JSON output for a response.
type responseDocument struct {
	Outcome     api.Outcome `json:"outcome"`
	Status      int         `json:"status"`
	ContentType string      `json:"content_type"`
	Body        string      `json:"body"`
}

func (e *env) printResponse(response client.Response) error {
	if e.json {
		return e.printJSON(responseDocument{response.Outcome, response.Status, response.ContentType, string(response.Body)})
	}
	fmt.Fprintf(e.stderr, "outcome: %s, status %d\n", response.Outcome, response.Status)
	if _, err := e.stdout.Write(response.Body); err != nil {
		return errors.Trace(err)
	}
	if n := len(response.Body); n > 0 && response.Body[n-1] != '\n' {
		fmt.Fprintln(e.stdout)
	}
	return nil
}
