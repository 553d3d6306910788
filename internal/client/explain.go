package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/explain"
)

// Explain asks the debug page of an entry where a job would be placed. If the entry does
// not own scheduling, it returns the address of the owner's pages instead of a report.
func (c *Client) Explain(ctx context.Context, r explain.Request) (report *explain.Report, owner string, err error) {
	body, header, err := jsonBody(r)
	if err != nil {
		return nil, "", err
	}
	resp, err := c.send(ctx, apiCall{method: http.MethodPost, path: explain.Path, header: header, body: body})
	if err != nil { // the call changes nothing, so a lost answer leaves nothing unknown
		return nil, "", errors.Annotate(ErrUnreachable, err.Error())
	}
	switch {
	case resp.status == http.StatusMisdirectedRequest:
		var elsewhere explain.Elsewhere
		if err := json.Unmarshal(resp.body, &elsewhere); err != nil || elsewhere.Owner == "" {
			return nil, "", errors.Annotatef(ErrNoResponse, "answer of %s not understood", explain.Path)
		}
		return nil, elsewhere.Owner, nil
	case resp.status >= http.StatusBadRequest:
		return nil, "", problemError(http.MethodGet, resp)
	}
	report = &explain.Report{}
	if err := json.Unmarshal(resp.body, report); err != nil {
		return nil, "", errors.Annotatef(ErrNoResponse, "answer of %s not understood: %v", explain.Path, err)
	}
	return report, "", nil
}
