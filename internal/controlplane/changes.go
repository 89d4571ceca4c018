package controlplane

import "topazshed/internal/schema"

// sign tells in a record who makes it and when, by the time of day at this machine.
func (c *Machine) sign(record *schema.Record) {
	record.Leader = c.self.Id
	if !c.options.Epoch.IsZero() {
		record.AtMs = c.options.Epoch.Add(c.now).UnixMilli()
	}
}
