package sim

import (
	"topazshed/internal/constants"
	"topazshed/internal/discovery"
	"topazshed/internal/schema"
)

func (f *Fleet) healthReports(n *Node, boot int) {
	f.on(n, boot, func() {
		var healthReports []*schema.HealthReport
		view := n.machine.Local().View
		for _, b := range f.Backends {
			if b.State == "gone" || regionOf(b.Zone) != n.Region || view.Services[b.Service] == nil {
				continue
			}
			err := f.probe(n, b)
			if err == nil {
				n.failedChecks[b.Instance] = 0
			} else {
				n.failedChecks[b.Instance]++
			}
			n.loads.Report(b.Instance, err)
			healthReports = append(healthReports, &schema.HealthReport{Instance: b.Instance, Failing: n.failedChecks[b.Instance] >= constants.HealthCheckFailures})
		}
		n.machine.SetHealthReports(healthReports)
		f.after(constants.HealthCheckEvery, func() { f.healthReports(n, boot) })
	})
}

func (f *Fleet) readList(n *Node, boot int) {
	f.on(n, boot, func() {
		if n.machine.IsLeading() {
			page := discovery.Page{Pages: 1, Revision: 1}
			for _, b := range f.Backends {
				if b.State != "gone" {
					page.Backends = append(page.Backends, discovery.Item{Service: b.Service, Instance: b.Instance, Address: b.Address, Zone: b.Zone, State: b.State})
				}
			}
			page.Total = len(page.Backends)
			pages := []discovery.Page{page}
			switch f.listFault {
			case "empty":
				pages[0].Backends, pages[0].Total = nil, 0
			case "short":
				pages[0].Backends = page.Backends[:len(page.Backends)/2]
			case "repeated":
				pages = append(pages, page)
			case "missing":
				pages[0].Pages = 2
			case "stale":
				pages[0].Backends = page.Backends[:len(page.Backends)/4]
				pages[0].Total = len(pages[0].Backends)
			}
			if f.listFault == "" {
				f.recordList(page)
			}
			n.machine.SetListRead(f.clock(n), discovery.Join(pages))
		}
		f.after(constants.ListReadEvery, func() { f.readList(n, boot) })
	})
}

func regionOf(zone string) string { return zone[:2] }
