package standin

import (
	"bytes"
	"context"
	"net/url"
	"sync"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Objects is an in-memory object store.
type Objects struct {
	Faults

	mu     sync.Mutex
	values map[string][]byte
}

var _ external.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{values: map[string][]byte{}} }

// Put stores a copy of value under key.
func (o *Objects) Put(_ context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.values[key] = bytes.Clone(value)
	return nil
}

// Get returns the value of key.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	value, ok := o.values[key]
	if !ok {
		return nil, errors.Annotatef(external.ErrNotFound, "object %q", key)
	}
	return value, nil
}

// Delete removes key, if it exists.
func (o *Objects) Delete(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.values, key)
	return nil
}

func (o *Objects) faults() *Faults { return &o.Faults }

func (o *Objects) routes(r *router.Router) {
	path := external.PathObjects + "{key:*}"
	r.GET(external.PathHealth, handleHealth)
	r.PUT(path, func(ctx *fasthttp.RequestCtx) {
		_ = o.Put(ctx, objectKey(ctx), ctx.PostBody())
	})
	r.GET(path, func(ctx *fasthttp.RequestCtx) {
		value, err := o.Get(ctx, objectKey(ctx))
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusNotFound)
			return
		}
		ctx.SetBody(value)
	})
	r.DELETE(path, func(ctx *fasthttp.RequestCtx) {
		_ = o.Delete(ctx, objectKey(ctx))
	})
}

// objectKey takes the key from the path as it was sent: the parsed path has
// its dots and slashes normalized.
func objectKey(ctx *fasthttp.RequestCtx) string {
	original := ctx.Request.URI().PathOriginal()
	key := string(bytes.TrimPrefix(original, []byte(external.PathObjects)))
	if unescaped, err := url.PathUnescape(key); err == nil {
		return unescaped
	}
	return key
}
