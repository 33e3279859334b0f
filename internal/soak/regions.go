package soak

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/internal/memnet"
	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/soak/workload"
)

const (
	// callersPerRegion send requests in each region.
	callersPerRegion = 4
	// joinedTime is the time under load before the regions lose each other, and after they have found each other.
	joinedTime = 20 * time.Second
	// apartChangeEvery is the time between two changes while they are apart.
	apartChangeEvery = 15 * time.Second
	// inForceLimit is the time in which an accepted change is in force.
	inForceLimit = 4 * time.Second
	// bookings are answered before the cut and sent again in it and after it.
	bookings    = 5
	resendTries = 4
	// changeLimit bounds the wait for a change's outcome.
	changeLimit = 10 * time.Second
)

// ErrMinorityAccepted means that the region without a quorum accepted a change.
var ErrMinorityAccepted = errors.New("soak: the region without a quorum accepted a change")

// RegionsOptions describe a run in which two regions lose each other.
type RegionsOptions struct {
	Seed uint64
	// Apart is the virtual time for which they are cut off from each other.
	Apart time.Duration
	Pace  time.Duration
	// Dir is an empty folder for the VMs' data.
	Dir string
	Log logr.Logger
	// Out takes the table of what was seen.
	Out io.Writer
}

// RegionsReport is what a run with two regions saw.
type RegionsReport struct {
	*oracle.Report
	// Majority holds the times from the acceptance of each change until it was in force on all VMs of the region
	// with the quorum.
	Majority []time.Duration
	// Rejoined is the time from the end of the cut until the last accepted change was in force in the other region.
	Rejoined time.Duration
}

// regions is one run with two regions.
type regions struct {
	RegionsOptions
	w       *world
	keep    *workload.DomainKeeper
	tallies map[string]*workload.Tally
	// booker books in the second region before the cut and sends the bookings again in it.
	booker *workload.Caller
	report *RegionsReport
}

// RunRegions runs one seeded run in which two regions lose each other; call it inside a testing/synctest bubble. The
// first region has two control VMs, the second has one.
func RunRegions(o RegionsOptions) (*RegionsReport, error) {
	w := newWorld(o.Dir, o.Log, regionNumber)
	if err := w.begin(o.Seed); err != nil {
		return nil, err
	}
	r := &regions{
		RegionsOptions: o, w: w, keep: workload.NewDomainKeeper(w.system), report: &RegionsReport{},
		tallies: make(map[string]*workload.Tally),
	}
	for _, name := range workload.Regions() {
		r.tallies[name] = &workload.Tally{}
	}
	n := len(r.tallies) * (callersPerRegion + 1)
	r.booker = workload.NewCaller(w.system, fmt.Sprintf("10.1.2.%d", n+1), n, o.Seed)
	r.phase("joined")
	until := time.Now().Add(joinedTime + o.Apart + joinedTime)
	var wg sync.WaitGroup
	for i := range len(workload.Regions()) * callersPerRegion {
		c := r.caller(i)
		wg.Go(func() { c.Run(until, o.Pace) })
	}
	err := r.run()
	wg.Wait()
	return r.end(err)
}

// regionNumber is the number of a failure domain's region, counted from 0.
func regionNumber(domain string) int {
	for i, name := range workload.Regions() {
		if workload.RegionOf(domain) == name {
			return i
		}
	}
	return 0
}

// caller returns the i-th caller; callers take turns between the regions.
func (r *regions) caller(i int) *workload.Caller {
	region := i % len(r.tallies)
	c := workload.NewCaller(r.w.system, fmt.Sprintf("10.%d.2.%d", region, i+1), i, r.Seed)
	c.Observe = r.tallies[workload.Regions()[region]].Observe
	return c
}

func (r *regions) phase(name string) {
	for _, t := range r.tallies {
		t.Begin(name)
	}
}

func (r *regions) run() error {
	r.booker.Book(bookings)
	time.Sleep(joinedTime)
	r.phase("apart")
	r.cut(memnet.Silence)
	until := time.Now().Add(r.Apart)
	var wg sync.WaitGroup
	var minority error
	base := r.keep.Version()
	wg.Go(func() { minority = r.minority(base, until) })
	r.majority(until)
	wg.Wait()
	time.Sleep(time.Until(until))
	r.phase("joined again")
	healed := time.Now()
	r.cut(memnet.None)
	time.Sleep(joinedTime)
	if again := r.booker.Again(bookings, resendTries); again < bookings {
		r.w.oracle.Violate(oracle.Recovery, "%d of %d bookings answered before the cut got their answer again after it", again, bookings)
	}
	return errors.Join(minority, r.rejoined(healed))
}

// cut puts a fault on all links between the regions.
func (r *regions) cut(f memnet.Fault) {
	var hosts [2][]string
	for _, v := range r.w.vms {
		n := regionNumber(v.domain)
		hosts[n] = append(hosts[n], v.host)
	}
	for _, s := range r.w.servers {
		n := regionNumber(s.FailureDomain)
		hosts[n] = append(hosts[n], s.Host)
	}
	// Operators of the first region; those of the second dial from its first VM.
	hosts[0] = append(hosts[0], workload.OperatorHost)
	for _, a := range hosts[0] {
		for _, b := range hosts[1] {
			r.w.net.Cut(a, b, f)
		}
	}
}

// majority takes the other region's failure domain out and brings it back, again and again.
func (r *regions) majority(until time.Time) {
	out := true
	for time.Until(until) > apartChangeEvery {
		if r.keep.Set(r.farDomain(), out, time.Now().Add(changeLimit)) {
			accepted := time.Now()
			time.Sleep(inForceLimit)
			r.noteInForce(accepted)
			out = !out
		}
		time.Sleep(apartChangeEvery - inForceLimit)
	}
}

func (r *regions) farDomain() string {
	d := workload.Domains()
	return d[len(d)-1]
}

// noteInForce notes how long the last accepted change took on the VMs of the region with the quorum.
func (r *regions) noteInForce(accepted time.Time) {
	var longest time.Duration
	for _, v := range r.near(0) {
		at, ok := r.w.oracle.InForceAt(v.name, r.keep.Version())
		if !ok {
			r.w.oracle.Violate(oracle.VersionsGrow, "%s had version %d not in force after %s", v.name, r.keep.Version(), inForceLimit)
			continue
		}
		longest = max(longest, at.Sub(accepted))
	}
	r.report.Majority = append(r.report.Majority, longest)
}

// near returns the VMs of a region.
func (r *regions) near(region int) []*vm {
	var out []*vm
	for _, v := range r.w.vms {
		if regionNumber(v.domain) == region {
			out = append(out, v)
		}
	}
	return out
}

// minority publishes on a version in the region without a quorum, which must not be accepted, and restarts a VM there.
func (r *regions) minority(base uint64, until time.Time) error {
	op := workload.NewOperator(r.w.system, r.near(1)[0].host, "far", workload.OperatorKey)
	defer op.Close()
	_, err := op.Publish(base, workload.Configuration(nil), time.Now().Add(changeLimit))
	if !errors.Is(err, workload.ErrNoAnswer) {
		return fmt.Errorf("%w: %w", ErrMinorityAccepted, err)
	}
	r.printf("change in the region without a quorum: %v\n", err)
	r.booker.Again(bookings, 1)
	v := r.near(1)[1]
	r.w.kill(v)
	time.Sleep(time.Second)
	if err := r.w.restart(v); err != nil {
		return err
	}
	time.Sleep(time.Until(until))
	return nil
}

// rejoined notes when the last accepted change was in force in the region that had no quorum.
func (r *regions) rejoined(healed time.Time) error {
	for _, v := range r.near(1) {
		at, ok := r.w.oracle.InForceAt(v.name, r.keep.Version())
		if !ok {
			return fmt.Errorf("soak: %s never had version %d in force", v.name, r.keep.Version())
		}
		r.report.Rejoined = max(r.report.Rejoined, at.Sub(healed))
	}
	return nil
}

// end checks that both regions serve, stops all and closes the oracle's books.
func (r *regions) end(err error) (*RegionsReport, error) {
	for i := range len(r.tallies) {
		n := len(r.tallies)*callersPerRegion + i
		c := workload.NewCaller(r.w.system, fmt.Sprintf("10.%d.2.%d", i, n+1), n, r.Seed)
		r.w.mustServe(c)
	}
	r.keep.Close()
	err = errors.Join(err, r.w.finish())
	r.report.Report = r.w.oracle.Report(r.Seed)
	for _, name := range workload.Regions() {
		r.printf("region %s\n", name)
		err = errors.Join(err, r.tallies[name].Print(r.Out))
	}
	return r.report, err
}

// printf writes a line of the run's log; a write that fails has no better place to be told.
func (r *regions) printf(format string, args ...any) { _, _ = fmt.Fprintf(r.Out, format, args...) }
