package cluster

import "peridotchute.example/standin/table"

// TableCounts returns the operation counts of the table service.
func (c *Cluster) TableCounts() (table.Counts, error) {
	var counts table.Counts
	err := GetJSON("http://"+c.StandIn.Settings.TableAddress+"/control/counts", &counts)
	return counts, err
}
