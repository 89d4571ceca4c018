package sim

import (
	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/discovery"
	"topazshed/internal/schema"
)

// listFault is a way in which the platform's list can be wrong.
type listFault string

const (
	listGood     listFault = ""
	listEmpty    listFault = "empty"
	listShort    listFault = "short"
	listRepeated listFault = "repeated"
	listMissing  listFault = "missing"
	listStale    listFault = "stale"
)

// reportHealth checks the back ends of a machine's region and reports them, once each constants.HealthCheckEvery.
func (f *Fleet) reportHealth(n *Node, boot int) {
	f.onNode(n, boot, func() {
		var reports []*schema.HealthReport
		view := n.machine.Local().View
		for _, b := range f.Backends {
			if b.State == checker.BackendGone || regionOf(b.Zone) != n.Region || view.Services[b.Service] == nil {
				continue
			}
			reports = append(reports, f.checkHealth(n, b))
		}
		n.machine.SetHealthReports(reports)
		f.after(constants.HealthCheckEvery, func() { f.reportHealth(n, boot) })
	})
}

// checkHealth checks one back end from one machine.
func (f *Fleet) checkHealth(n *Node, b *Backend) *schema.HealthReport {
	err := f.connectError(n, b)
	if err == nil {
		n.failedChecks[b.Instance] = 0
	} else {
		n.failedChecks[b.Instance]++
	}
	n.loads.Report(b.Instance, err)
	isFailing := n.failedChecks[b.Instance] >= constants.HealthCheckFailures
	return &schema.HealthReport{Instance: b.Instance, Failing: isFailing}
}

// readList gives the platform's list to the leader, once each constants.ListReadEvery.
func (f *Fleet) readList(n *Node, boot int) {
	f.onNode(n, boot, func() {
		if n.machine.IsLeading() {
			page := f.listPage()
			if f.listFault == listGood {
				f.History.RecordList(statesOf(page))
			}
			n.machine.SetListRead(f.clock(n), discovery.Join(f.listFault.apply(page)))
		}
		f.after(constants.ListReadEvery, func() { f.readList(n, boot) })
	})
}

// listPage gives the platform's true list, in one page.
func (f *Fleet) listPage() discovery.Page {
	page := discovery.Page{Pages: 1, Revision: 1}
	for _, b := range f.Backends {
		if b.State == checker.BackendGone {
			continue
		}
		item := discovery.Item{Service: b.Service, Instance: b.Instance, Address: b.Address, Zone: b.Zone, State: b.State}
		page.Backends = append(page.Backends, item)
	}
	page.Total = len(page.Backends)
	return page
}

// statesOf gives the states of a list's back ends by instance.
func statesOf(page discovery.Page) map[string]string {
	states := map[string]string{}
	for _, item := range page.Backends {
		states[item.Instance] = item.State
	}
	return states
}

// apply gives the pages that the list shows under a fault.
func (fault listFault) apply(page discovery.Page) []discovery.Page {
	switch fault {
	case listEmpty:
		page.Backends, page.Total = nil, 0
	case listShort:
		page.Backends = page.Backends[:len(page.Backends)/2]
	case listRepeated:
		return []discovery.Page{page, page}
	case listMissing:
		page.Pages = 2
	case listStale:
		page.Backends = page.Backends[:len(page.Backends)/4]
		page.Total = len(page.Backends)
	}
	return []discovery.Page{page}
}
