package httpapi

import (
	"context"
	"regexp"
	"sort"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ProfileList is the response body of GET /v1/profiles.
type ProfileList struct {
	Profiles []api.Profile `json:"profiles"`
}

// ZoneList is the response body of GET /v1/zones.
type ZoneList struct {
	Zones []api.AvailabilityZone `json:"zones"`
}

// ifMatchVersion returns the version that the caller expects an item to have, from
// If-Match. It returns confstate.AnyVersion if the header is absent or "*".
func ifMatchVersion(ctx *fasthttp.RequestCtx) (uint64, error) {
	tag := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch))
	if tag == "" || tag == "*" {
		return confstate.AnyVersion, nil
	}
	return httpx.ParseETag(tag)
}

func (a *API) listProfiles(ctx *fasthttp.RequestCtx) {
	out := ProfileList{Profiles: []api.Profile{}}
	for _, p := range a.Config.Current().Profiles {
		out.Profiles = append(out.Profiles, p)
	}
	sort.Slice(out.Profiles, func(i, j int) bool { return out.Profiles[i].Name < out.Profiles[j].Name })
	httpx.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (a *API) getProfile(ctx *fasthttp.RequestCtx) {
	name := pathValue(ctx, "name")
	p, ok := a.Config.Current().Profiles[name]
	if !ok {
		writeProblem(ctx, fasthttp.StatusNotFound, "profile %q does not exist", name)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, httpx.ETag(p.Version))
	httpx.WriteJSON(ctx, fasthttp.StatusOK, p)
}

func (a *API) putProfile(ctx *fasthttp.RequestCtx) {
	var p api.Profile
	if err := httpx.ReadJSON(ctx, &p); err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	name := pathValue(ctx, "name")
	if p.Name == "" {
		p.Name = name
	}
	if err := validateProfile(name, p); err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	warning, err := a.Scheduler.CheckGuarantees(configWithProfile(a.Config.Current(), p), name)
	if err != nil {
		writeProblem(ctx, fasthttp.StatusUnprocessableEntity, "%v", err)
		return
	}
	if warning != "" {
		ctx.Response.Header.Set(httpx.HeaderWarning, warning)
	}
	versionOf := func(config *api.Config) uint64 { return config.ProfileVersion(name) }
	config, ok := a.applyChange(ctx, versionOf, func(storeCtx context.Context, expected uint64) (*api.Config, error) {
		return a.Config.PutProfile(storeCtx, p, expected)
	})
	if ok {
		httpx.WriteJSON(ctx, fasthttp.StatusOK, config.Profiles[name])
	}
}

func configWithProfile(c *api.Config, p api.Profile) *api.Config {
	out := c.Clone()
	out.Profiles[p.Name] = p
	return out
}

func validateProfile(name string, p api.Profile) error {
	if !namePattern.MatchString(name) {
		return errors.NotValidf("profile name %q (want letters, digits, dot, dash, underscore; at most 64)", name)
	}
	if p.Name != name {
		return errors.NotValidf("name %q in the body of profile %q", p.Name, name)
	}
	if p.ClientAccount == "" {
		return errors.NotValidf("client_account: missing")
	}
	if p.Weight < 0 || p.MaxQueue < 0 || p.Timeout < 0 || p.QuotaAccelerators < 0 {
		return errors.NotValidf("profile %q: negative weight, max_queue, timeout or quota_accelerators", name)
	}
	if p.Guarantee == nil {
		return nil
	}
	if p.Guarantee.Gangs < 1 {
		return errors.NotValidf("guarantee.gangs: %d (want 1 or more)", p.Guarantee.Gangs)
	}
	return p.Guarantee.Shape.Validate("guarantee.shape")
}

func (a *API) deleteProfile(ctx *fasthttp.RequestCtx) {
	name := pathValue(ctx, "name")
	if _, ok := a.Config.Current().Profiles[name]; !ok {
		writeProblem(ctx, fasthttp.StatusNotFound, "profile %q does not exist", name)
		return
	}
	versionOf := func(config *api.Config) uint64 { return config.ProfileVersion(name) }
	_, ok := a.applyChange(ctx, versionOf, func(storeCtx context.Context, expected uint64) (*api.Config, error) {
		return a.Config.DeleteProfile(storeCtx, name, expected)
	})
	if ok {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	}
}

// applyChange applies update to one item and sets the ETag of the new version.
// versionOf returns the item's version in a configuration. If the change is not
// acknowledged, applyChange writes a problem and returns false.
func (a *API) applyChange(ctx *fasthttp.RequestCtx, versionOf func(*api.Config) uint64, update func(c context.Context, expect uint64) (*api.Config, error)) (*api.Config, bool) {
	expected, err := ifMatchVersion(ctx)
	if err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return nil, false
	}
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	config, err := update(storeCtx, expected)
	if err != nil {
		writeChangeProblem(ctx, err, versionOf(config))
		return nil, false
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, httpx.ETag(versionOf(config)))
	return config, true
}

// writeChangeProblem responds to a change that was not acknowledged.
func writeChangeProblem(ctx *fasthttp.RequestCtx, err error, version uint64) {
	switch {
	case errors.Is(err, confstate.ErrVersionConflict):
		p := httpx.Problemf(fasthttp.StatusPreconditionFailed, "%v; the current version is %d", err, version)
		p.Version = version
		ctx.Response.Header.Set(fasthttp.HeaderETag, httpx.ETag(version))
		httpx.WriteProblem(ctx, p)
	default:
		writeStoreProblem(ctx, err)
	}
}

func (a *API) listZones(ctx *fasthttp.RequestCtx) {
	out := ZoneList{Zones: []api.AvailabilityZone{}}
	config := a.Config.Current()
	names := map[string]bool{}
	for name := range config.Zones {
		names[name] = true
	}
	for _, p := range a.Status.ConfigStatus().Processes {
		names[p.Zone] = true
	}
	for name := range names {
		out.Zones = append(out.Zones, config.Zone(name))
	}
	sort.Slice(out.Zones, func(i, j int) bool { return out.Zones[i].Name < out.Zones[j].Name })
	httpx.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (a *API) getZone(ctx *fasthttp.RequestCtx) {
	z := a.Config.Current().Zone(pathValue(ctx, "name"))
	ctx.Response.Header.Set(fasthttp.HeaderETag, httpx.ETag(z.Version))
	httpx.WriteJSON(ctx, fasthttp.StatusOK, z)
}

func (a *API) putZone(ctx *fasthttp.RequestCtx) {
	name := pathValue(ctx, "name")
	var body struct {
		State api.ZoneState `json:"state"`
	}
	if err := httpx.ReadJSON(ctx, &body); err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	if body.State != api.ZoneIn && body.State != api.ZoneOut {
		writeProblem(ctx, fasthttp.StatusBadRequest, "state %q is not valid (want in or out)", body.State)
		return
	}
	if !namePattern.MatchString(name) {
		writeProblem(ctx, fasthttp.StatusBadRequest, "zone name %q is not valid", name)
		return
	}
	versionOf := func(config *api.Config) uint64 { return config.Zone(name).Version }
	config, ok := a.applyChange(ctx, versionOf, func(storeCtx context.Context, expected uint64) (*api.Config, error) {
		return a.Config.PutZone(storeCtx, name, body.State, expected)
	})
	if ok {
		httpx.WriteJSON(ctx, fasthttp.StatusOK, config.Zone(name))
	}
}

func (a *API) configStatus(ctx *fasthttp.RequestCtx) {
	httpx.WriteJSON(ctx, fasthttp.StatusOK, a.Status.ConfigStatus())
}
