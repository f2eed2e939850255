package origins

import "peridotchute.example/membership"

// copies is the number of other entries that hold a copy of a record.
const copies = 2

// holders returns the n entries that hold the copies of a stream's record.
func holders(s Stream, names []string, n int) []string {
	return membership.Rendezvous(s.Service+"\x00"+s.ID, names, n)
}
