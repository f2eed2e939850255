// Package adminapi serves the administration API: operators plan a configuration
// change, review all its effects and accept it by its digest.
package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/operator/api"
	"peridotchute.example/store"
)

// Store stores the accepted configurations. It is implemented by publish.Store.
type Store interface {
	Read(ctx context.Context) (*config.Configuration, error)
	Version(ctx context.Context, version uint64) (*config.Configuration, error)
	Accept(ctx context.Context, c publish.Change) (*config.Configuration, error)
	History(ctx context.Context, limit int) ([]publish.HistoryEntry, error)
}

// Actions lists and settles actions whose outcome cannot be determined. It is
// implemented by action.Runner.
type Actions interface {
	// Unresolved returns at most limit actions after a cursor and the next cursor.
	Unresolved(ctx context.Context, cursor string, limit int) ([]action.Unresolved, string, error)
	// Resolve records whether an action took effect. The error has KindNotFound if
	// the action does not exist and KindConflict if it is no longer unresolved.
	Resolve(ctx context.Context, v action.Verdict) error
}

// Options configures an API.
type Options struct {
	Entry   string // name of this entry
	Keys    *Keys
	Store   Store
	Holder  *config.Holder
	Table   store.Table   // audit records
	Objects store.Objects // plans
	VMs     store.VMs     // counts the backend servers of each pool
	Members func(context.Context) []api.Member
	Actions Actions
	// Drain stops a backend server from accepting new requests and returns the number
	// in flight. The error has KindNotFound if the server is unknown.
	Drain func(ctx context.Context, server string) (inFlight int, err error)
	Dump  func() map[string]any // state of this process, without secrets
	Log   logrus.FieldLogger
	Now   func() time.Time
}

// API serves the administration API of one entry.
type API struct {
	opts Options
}

// New returns the API.
func New(opts Options) *API {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &API{opts: opts}
}

// route is one operation of the API. The handler returns the body of the
// response with status 200.
type route struct {
	method string
	path   string
	role   api.Role
	handle func(*call) (any, error)
}

func (a *API) routes() []route {
	return []route{
		{http.MethodGet, api.PathConfiguration, api.RoleRead, a.configuration},
		{http.MethodGet, api.PathStatus, api.RoleRead, a.status},
		{http.MethodGet, api.PathHistory, api.RoleRead, a.history},
		{http.MethodGet, api.PathAudit, api.RoleRead, a.audit},
		{http.MethodGet, api.PathUnresolved, api.RoleRead, a.unresolved},
		{http.MethodGet, api.PathDump, api.RoleRead, a.dump},
		{http.MethodPost, api.PathValidate, api.RoleRead, a.validate},
		{http.MethodPost, api.PathPlan, api.RolePlan, a.plan},
		{http.MethodPost, api.PathRevert, api.RolePlan, a.revert},
		{http.MethodPost, api.PathAccept, api.RoleAccept, a.accept},
		{http.MethodPost, api.PathSettle, api.RoleAccept, a.settle},
		{http.MethodPost, api.PathDrain, api.RoleAccept, a.drain},
	}
}

// Register adds the API's routes to the administration listener.
func (a *API) Register(r *mux.Router) {
	sub := r.PathPrefix(api.Prefix).Subrouter()
	for _, rt := range a.routes() {
		sub.Handle(rt.path, a.guard(rt)).Methods(rt.method)
	}
}

// call is one authorized request.
type call struct {
	r        *http.Request
	w        http.ResponseWriter
	operator string
}

func (c *call) ctx() context.Context { return c.r.Context() }
