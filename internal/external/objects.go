package external

import (
	"context"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
)

type objectsClient struct{ *client }

// NewObjectsClient returns a client of the object store at url. Each operation
// ends within timeout.
func NewObjectsClient(url string, timeout time.Duration) Objects {
	return objectsClient{newClient("object store", url, timeout)}
}

func objectPath(key string) string { return PathObjects + url.PathEscape(key) }

func (c objectsClient) Put(ctx context.Context, key string, value []byte) error {
	_, err := c.exchange(ctx, fasthttp.MethodPut, objectPath(key), value)
	return err
}

func (c objectsClient) Get(ctx context.Context, key string) ([]byte, error) {
	return c.exchange(ctx, fasthttp.MethodGet, objectPath(key), nil)
}

func (c objectsClient) Delete(ctx context.Context, key string) error {
	_, err := c.exchange(ctx, fasthttp.MethodDelete, objectPath(key), nil)
	return err
}
