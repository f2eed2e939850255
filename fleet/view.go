package fleet

import "time"

// View is a process's snapshot of the deployment. Views are shared between
// goroutines and must not be modified.
type View struct {
	Config      *Config           // nil until the first configuration is read
	Servers     []Server          // ordered by ID, including draining servers
	ServersRead time.Time         // when the read of the registrations began
	Regions     map[string]string // region of each availability zone
}

// Server returns the server with the given ID, or nil if there is none.
func (v *View) Server(id string) *Server {
	for i := range v.Servers {
		if v.Servers[i].ID == id {
			return &v.Servers[i]
		}
	}
	return nil
}
