package httpx

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/fasthttp/router"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Paths of the debug pages that each process serves.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	// PathMetricsText serves the metrics as plain text to clients that send no
	// Accept header.
	PathMetricsText = "/metrics.txt"
	PathState       = "/debug/state"
)

// DebugOptions configures the debug pages of a process.
type DebugOptions struct {
	// Ready returns nil if the process accepts new work, otherwise the reason why
	// not. A nil Ready means that the process is always ready.
	Ready func() error
	// Registry holds the metrics.
	Registry metrics.Registry
	// Dump returns the state of the process as a value that encodes to JSON.
	Dump func() any
}

// Health is the response body of /healthz and /readyz.
type Health struct {
	Status string `json:"status"`
}

// MountDebugPages adds /healthz, /readyz, /metrics, /metrics.txt and /debug/state
// to r.
func MountDebugPages(r *router.Router, options DebugOptions) {
	r.GET(PathHealth, func(ctx *fasthttp.RequestCtx) {
		WriteJSON(ctx, fasthttp.StatusOK, Health{"ok"})
	})
	r.GET(PathReady, func(ctx *fasthttp.RequestCtx) { serveReady(ctx, options.Ready) })
	r.GET(PathMetrics, func(ctx *fasthttp.RequestCtx) { serveMetrics(ctx, options.Registry) })
	r.GET(PathMetricsText, func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType(ContentTypeText)
		ctx.SetBody(metricLines(options.Registry.GetAll()))
	})
	r.GET(PathState, func(ctx *fasthttp.RequestCtx) {
		WriteJSON(ctx, fasthttp.StatusOK, options.Dump())
	})
}

func serveReady(ctx *fasthttp.RequestCtx, ready func() error) {
	if ready != nil {
		if err := ready(); err != nil {
			WriteProblem(ctx, Problemf(fasthttp.StatusServiceUnavailable, "not ready: %v", err))
			return
		}
	}
	WriteJSON(ctx, fasthttp.StatusOK, Health{"ready"})
}

// serveMetrics responds with JSON, or with lines of "name value" if the client
// accepts plain text.
func serveMetrics(ctx *fasthttp.RequestCtx, registry metrics.Registry) {
	all := registry.GetAll()
	accept := string(ctx.Request.Header.Peek(fasthttp.HeaderAccept))
	if !strings.Contains(accept, "text/plain") {
		WriteJSON(ctx, fasthttp.StatusOK, all)
		return
	}
	ctx.SetContentType(ContentTypeText)
	ctx.SetBody(metricLines(all))
}

// metricLines returns a line for each value of the metrics, in two sorted blocks: the
// counts and single values, then the fields of distributions. Collectors that cut a long
// page keep the first block.
func metricLines(all map[string]map[string]any) []byte {
	var values, distributions []string
	for name, fields := range all {
		for field, value := range fields {
			line := fmt.Sprintf("%s %v\n", metricName(name, field), value)
			if isSingleValue(field) {
				values = append(values, line)
			} else {
				distributions = append(distributions, line)
			}
		}
	}
	sort.Strings(values)
	sort.Strings(distributions)
	var b bytes.Buffer
	for _, line := range append(values, distributions...) {
		b.WriteString(line)
	}
	return b.Bytes()
}

// metricName joins a metric's name and field. It omits the field of metrics with
// a single value.
func metricName(name, field string) string {
	if isSingleValue(field) {
		return name
	}
	return name + "." + strings.ReplaceAll(field, "%", "")
}

func isSingleValue(field string) bool { return field == "count" || field == "value" }
