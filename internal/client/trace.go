package client

import (
	"net/http"
	"net/http/httptrace"
)

// withSentTrace returns a request that sets sent once it is assigned a connection:
// from then on the entry may have received it.
func withSentTrace(req *http.Request, sent *bool) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *sent = true },
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}
