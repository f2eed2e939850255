package cluster

import (
	"encoding/json"

	"peridotchute.example/standin/table"
)

// TableCounts returns the operations that the table service has answered.
func (c *Cluster) TableCounts() (table.Counts, error) {
	var counts table.Counts
	resp, err := get("http://" + c.StandIn.Settings.TableAddress + "/control/counts")
	if err != nil {
		return counts, err
	}
	defer func() { _ = resp.Body.Close() }()
	return counts, json.NewDecoder(resp.Body).Decode(&counts)
}
