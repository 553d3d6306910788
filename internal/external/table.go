package external

import (
	"context"
	"time"
)

type tableClient struct{ *client }

// NewTableClient returns a client of the table service at url. Each operation
// ends within timeout.
func NewTableClient(url string, timeout time.Duration) Table {
	return tableClient{newClient("table", url, timeout)}
}

func (c tableClient) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var reply RowsReply
	err := c.post(ctx, PathTableGet, GetRequest{keys}, &reply)
	return reply.Rows, err
}

func (c tableClient) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var reply RowsReply
	err := c.post(ctx, PathTableScan, ScanRequest{prefix, after, limit}, &reply)
	return reply.Rows, err
}

func (c tableClient) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var reply TxnResult
	err := c.post(ctx, PathTableCommit, txn, &reply)
	return reply, err
}
