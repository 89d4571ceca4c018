package routes

import (
	"fmt"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/faultlist"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Check returns every fault of a configuration that would follow the newest version.
func Check(config *schema.RouteConfig, newest uint64, view *store.View) []*schema.Fault {
	c := &checker{view: view, services: map[string]bool{}, indexes: map[string]int{}}
	if config.GetVersion() <= newest {
		c.faults.Add("version", "%d is not above the newest, %d; raise it", config.GetVersion(), newest)
	}
	for i, service := range config.GetServices() {
		c.checkService(i, service)
	}
	for i, route := range config.GetRoutes() {
		c.checkPlace(i, route)
		c.checkTimes(i, route)
		c.checkTargets(i, route)
	}
	return c.faults
}

// checker collects the faults of a configuration.
type checker struct {
	view   *store.View
	faults faultlist.List
	// services are those that the configuration lists.
	services map[string]bool
	// indexes holds the index of the latest route of each host and prefix.
	indexes map[string]int
}

// routePath names a field of a route, for faults.
func routePath(index int, field string) string {
	return fmt.Sprintf("routes[%d].%s", index, field)
}

func (c *checker) checkService(index int, service *schema.ServicePolicy) {
	path := fmt.Sprintf("services[%d]", index)
	switch {
	case service.Service == "" || strings.Contains(service.Service, "/"):
		c.faults.Add(path, "%q is no service name; give one without slashes", service.Service)
	case c.services[service.Service]:
		c.faults.Add(path, "service %q is listed twice; keep one", service.Service)
	}
	if service.ColdRate < 0 {
		c.faults.Add(path, "a cold rate of %g can't be kept; give 0 or more", service.ColdRate)
	}
	c.services[service.Service] = true
}

// checkPlace checks the host and the prefix, which only one route may have.
func (c *checker) checkPlace(index int, route *schema.Route) {
	if route.Host == "" || strings.ContainsAny(route.Host, "/ ") {
		c.faults.Add(routePath(index, "host"), "%q is no host name; give the name that callers use", route.Host)
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		c.faults.Add(routePath(index, "prefix"), "%q does not start with a slash; begin with one", route.Prefix)
	}
	place := route.Host + " " + route.Prefix
	if first, isRepeated := c.indexes[place]; isRepeated {
		c.faults.Add(routePath(index, "prefix"), "repeats the host and prefix of routes[%d]; keep one of the two", first)
	}
	c.indexes[place] = index
}

func (c *checker) checkTimes(index int, route *schema.Route) {
	timeout := time.Duration(route.TimeoutMs) * time.Millisecond
	target := time.Duration(route.TargetMs) * time.Millisecond
	if timeout <= 0 || timeout > constants.MaxRouteTimeout {
		c.faults.Add(routePath(index, "timeout_ms"), "%v is not above 0 and within %v; mend it", timeout, constants.MaxRouteTimeout)
	}
	if target >= timeout+constants.RouteTargetOver {
		c.faults.Add(routePath(index, "target_ms"), "%v is %v or more above the time-out; lower it", target, constants.RouteTargetOver)
	}
}

func (c *checker) checkTargets(index int, route *schema.Route) {
	total := uint64(0)
	for i, target := range route.Targets {
		total += uint64(target.Weight)
		if !c.isKnown(target.Service) {
			path := fmt.Sprintf("routes[%d].targets[%d].service", index, i)
			c.faults.Add(path, "service %q is not known; list it under services or mend the name", target.Service)
		}
	}
	if total == 0 {
		c.faults.Add(routePath(index, "targets"), "have no weight; give one service a weight above 0")
	}
}

// isKnown reports whether the configuration lists a service, or the platform lists back ends of it.
func (c *checker) isKnown(service string) bool {
	known := c.view.Services[service]
	return c.services[service] || known != nil && len(known.Backends) > 0
}
