package catalog

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid means that a configuration is incomplete or inconsistent. Errors that wrap it list all faults.
var ErrInvalid = errors.New("catalog: invalid configuration")

// Check checks the whole set and builds its lookup tables. Its error wraps ErrInvalid and names every fault.
func (s *Set) Check() error {
	c := &checker{set: s}
	if s.Version == 0 {
		c.report("the version is missing")
	}
	for name, svc := range s.Services {
		c.checkService(name, svc)
	}
	routeByPrefix := make(map[string]string)
	for _, r := range s.Routes {
		c.checkRoute(r)
		prefix := r.Host + " " + r.PathPrefix
		if first, ok := routeByPrefix[prefix]; ok {
			c.report("routes %q and %q share host %q and prefix %q", first, r.Name, r.Host, r.PathPrefix)
		}
		routeByPrefix[prefix] = r.Name
	}
	c.checkOrganisations()
	if len(c.faults) > 0 {
		return fmt.Errorf("%w: %s", ErrInvalid, strings.Join(c.faults, "; "))
	}
	s.index()
	return nil
}

// checker collects the faults of a set.
type checker struct {
	set    *Set
	faults []string
}

func (c *checker) report(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) checkService(name string, s *Service) {
	if name == "" {
		c.report("a service has no name")
	}
	if b := s.Batch; b != nil && (b.Size <= 0 || b.Slots <= 0) {
		c.report("service %q takes no pieces: %d slots, %d pieces a call", name, b.Slots, b.Size)
	}
}

func (c *checker) checkRoute(r *Route) {
	if r.Timeout <= 0 {
		c.report("route %q has no timeout", r.Name)
	}
	if r.Host == "" {
		c.report("route %q has no host", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.report("route %q: prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	total := 0
	for _, s := range r.Split {
		c.checkServiceExists(r, s.Service)
		if s.Weight < 0 {
			c.report("route %q gives service %q the weight %d", r.Name, s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		c.report("route %q: the weights of its services add up to 0", r.Name)
	}
	for i, st := range r.Stages {
		c.checkServiceExists(r, st.Service)
		if svc := c.set.Services[st.Service]; svc != nil && svc.Batch == nil {
			c.report("route %q: stage %d is on service %q, which runs no stages", r.Name, i, st.Service)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				c.report("route %q: stage %d needs stage %d, which is not before it", r.Name, i, a)
			}
		}
	}
}

func (c *checker) checkServiceExists(r *Route, service string) {
	if c.set.Services[service] == nil {
		c.report("route %q names the unknown service %q", r.Name, service)
	}
}

func (c *checker) checkOrganisations() {
	if c.set.Keyless && len(c.set.Organisations) > 0 {
		c.report("%d organisations are listed where callers need no key", len(c.set.Organisations))
	}
	ownerByKey := make(map[string]string)
	for _, o := range c.set.Organisations {
		if o.Name == "" {
			c.report("an organisation has no name")
		}
		for _, k := range o.Keys {
			if first, ok := ownerByKey[k]; ok && first != o.Name {
				c.report("organisations %q and %q share a key", first, o.Name)
			}
			ownerByKey[k] = o.Name
		}
	}
}
