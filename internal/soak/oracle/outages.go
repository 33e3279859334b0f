package oracle

import "time"

// farAway ends an outage that is not over yet.
const farAway = 1000 * time.Hour

// TakenOut notes that a failure domain's outage was accepted at a time.
func (o *Oracle) TakenOut(domain string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outages = append(o.outages, outage{domain: domain, from: at, to: at.Add(farAway)})
}

// BroughtBack notes that operators began at a time to bring a failure domain back.
func (o *Oracle) BroughtBack(domain string, begun time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.outages {
		if o.outages[i].domain == domain && o.outages[i].to.After(begun) {
			o.outages[i].to = begun
		}
	}
}

// ForgetOutages drops all open outages: a change without an outcome may have ended them.
func (o *Oracle) ForgetOutages() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.outages {
		if o.outages[i].to.After(time.Now()) {
			o.outages[i].to = time.Time{}
		}
	}
}
