package external

import (
	"context"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

type workerClient struct{ *client }

// NewWorkerClient returns a client of the worker at url. Each operation ends
// within timeout.
func NewWorkerClient(url string, timeout time.Duration) Worker {
	return workerClient{newClient("worker", url, timeout)}
}

func (c workerClient) Start(ctx context.Context, task Task) (TaskStatus, error) {
	var status TaskStatus
	err := c.post(ctx, PathWorkerStart, task, &status)
	return status, err
}

func (c workerClient) Renew(ctx context.Context, ids []string, leaseMS int64) error {
	return c.post(ctx, PathWorkerRenew, RenewRequest{ids, leaseMS}, nil)
}

func (c workerClient) Checkpoint(ctx context.Context, id string) (TaskStatus, error) {
	return c.postTask(ctx, PathWorkerCheckpoint, id)
}

func (c workerClient) Throttle(ctx context.Context, id string, limit api.Resources) error {
	return c.post(ctx, PathWorkerThrottle, TaskRequest{ID: id, Limit: limit}, nil)
}

func (c workerClient) Stop(ctx context.Context, id string) (TaskStatus, error) {
	return c.postTask(ctx, PathWorkerStop, id)
}

func (c workerClient) List(ctx context.Context) ([]TaskStatus, error) {
	var reply ListReply
	err := c.post(ctx, PathWorkerList, struct{}{}, &reply)
	return reply.Tasks, err
}

func (c workerClient) postTask(ctx context.Context, path, id string) (TaskStatus, error) {
	var status TaskStatus
	err := c.post(ctx, path, TaskRequest{ID: id}, &status)
	return status, err
}
