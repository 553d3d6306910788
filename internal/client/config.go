package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
)

// AnyVersion, as an expected version, skips the version check.
const AnyVersion = ^uint64(0)

func profilePath(name string) string { return "/v1/profiles/" + url.PathEscape(name) }
func zonePath(name string) string    { return "/v1/zones/" + url.PathEscape(name) }

func ifMatch(header http.Header, version uint64) http.Header {
	if header == nil {
		header = http.Header{}
	}
	if version != AnyVersion {
		header.Set("If-Match", httpx.ETag(version))
	}
	return header
}

// Profiles returns all profiles.
func (c *Client) Profiles(ctx context.Context) ([]api.Profile, error) {
	var list struct {
		Profiles []api.Profile `json:"profiles"`
	}
	_, err := c.sendJSON(ctx, apiCall{method: http.MethodGet, path: "/v1/profiles"}, &list)
	return list.Profiles, err
}

// Profile returns one profile.
func (c *Client) Profile(ctx context.Context, name string) (api.Profile, error) {
	var p api.Profile
	_, err := c.sendJSON(ctx, apiCall{method: http.MethodGet, path: profilePath(name)}, &p)
	return p, err
}

// PutProfile creates or replaces a profile if its current version is the given one.
// It returns the new profile and the entry's warning, or "".
func (c *Client) PutProfile(ctx context.Context, p api.Profile, version uint64) (api.Profile, string, error) {
	body, header, err := jsonBody(p)
	if err != nil {
		return p, "", err
	}
	call := apiCall{method: http.MethodPut, path: profilePath(p.Name), header: ifMatch(header, version), body: body}
	resp, err := c.sendJSON(ctx, call, &p)
	return p, resp.header.Get(httpx.HeaderWarning), err
}

// DeleteProfile deletes a profile if its current version is the given one.
func (c *Client) DeleteProfile(ctx context.Context, name string, version uint64) error {
	call := apiCall{method: http.MethodDelete, path: profilePath(name), header: ifMatch(nil, version)}
	_, err := c.sendJSON(ctx, call, nil)
	return err
}

// Zones returns the availability zones that the entry knows.
func (c *Client) Zones(ctx context.Context) ([]api.AvailabilityZone, error) {
	var list struct {
		Zones []api.AvailabilityZone `json:"zones"`
	}
	_, err := c.sendJSON(ctx, apiCall{method: http.MethodGet, path: "/v1/zones"}, &list)
	return list.Zones, err
}

// PutZone sets the state of an availability zone if its current version is the given one.
func (c *Client) PutZone(ctx context.Context, name string, state api.ZoneState, version uint64) (api.AvailabilityZone, error) {
	zone := api.AvailabilityZone{Name: name, State: state}
	body, header, err := jsonBody(struct {
		State api.ZoneState `json:"state"`
	}{state})
	if err != nil {
		return zone, err
	}
	call := apiCall{method: http.MethodPut, path: zonePath(name), header: ifMatch(header, version), body: body}
	_, err = c.sendJSON(ctx, call, &zone)
	return zone, err
}

// ConfigStatus returns the configuration version in force on each process.
func (c *Client) ConfigStatus(ctx context.Context) (api.ConfigStatus, error) {
	var status api.ConfigStatus
	_, err := c.sendJSON(ctx, apiCall{method: http.MethodGet, path: "/v1/config/status"}, &status)
	return status, err
}

// DumpState returns the state dump of the process at the client's address.
func (c *Client) DumpState(ctx context.Context) (json.RawMessage, error) {
	var dump json.RawMessage
	_, err := c.sendJSON(ctx, apiCall{method: http.MethodGet, path: httpx.PathState}, &dump)
	return dump, err
}
