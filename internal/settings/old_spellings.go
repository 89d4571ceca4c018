package settings

// oldNames are settings under the names that earlier versions used. They are accepted for one version.
type oldNames struct {
	Admin      string `json:"door"`
	AdminShown string `json:"door_shown"`
	Zone       string `json:"district"`
}

// settle moves what was given under old names into current. A setting that was given under both names, with different
// values, is a fault.
func (o oldNames) settle(current *Settings, faults *FaultList) {
	current.Admin = Renamed(faults, "admin", current.Admin, "door", o.Admin)
	current.AdminShown = Renamed(faults, "admin_shown", current.AdminShown, "door_shown", o.AdminShown)
	current.Zone = Renamed(faults, "zone", current.Zone, "district", o.Zone)
}

// Renamed gives the value of a setting that has a new name while its old one is still accepted. It adds a fault if both are
// given and differ.
func Renamed(faults *FaultList, newName, newValue, oldName, oldValue string) string {
	if newValue == "" {
		return oldValue
	}
	if oldValue != "" && oldValue != newValue {
		faults.Add(Conflicting, oldName, "give "+newName+" only",
			"is the old name of %s and says %q where %s says %q", newName, oldValue, newName, newValue)
	}
	return newValue
}
