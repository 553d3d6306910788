package client

import (
	"net/http"
	"net/http/httptrace"
)

// withSentTrace sets sent once a connection carries the request: from then on
// the entry may have received it.
func withSentTrace(req *http.Request, sent *bool) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *sent = true },
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}
