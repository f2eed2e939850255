package fleet

import "time"

// View is what a process knows of the deployment at one moment. Views are
// shared between goroutines and must not be changed.
type View struct {
	Config      *Config           // nil before the first configuration
	Servers     []Server          // in order of ID; draining servers included
	ServersRead time.Time         // when the registrations were asked for
	Regions     map[string]string // region of each availability zone
}

// Server returns the server with the given ID, or nil.
func (v *View) Server(id string) *Server {
	for i := range v.Servers {
		if v.Servers[i].ID == id {
			return &v.Servers[i]
		}
	}
	return nil
}
