package packettest

import "time"

// Outage describes a loss of power of all VMs under a steady load of one class, for Bound.
type Outage struct {
	// Down is the time without power, Start the time until all hosts take flows again. The outage begins at 0.
	Down, Start time.Duration
	// Hosts have Slots slots each. A request takes ServiceTime on average, ColdFactor times as long for ColdTime after
	// the start.
	Hosts, Slots int
	ServiceTime  time.Duration
	ColdTime     time.Duration
	ColdFactor   float64
	// PerSecond is the rate of requests, Class their target, deadline and credit.
	PerSecond float64
	Class     Class
}

// boundStep is the step of the calculation.
const boundStep = 10 * time.Millisecond

// Bound returns the largest possible credit of the requests that begin from 0 on in each window, as a share of what
// is owed. It is an upper bound: it assumes one queue for all hosts, service times without variance, full slots, callers
// whose copies of opening packets arrive at the best moment, and knowledge of which request began when. At each
// moment it serves the requests that can still be in time, and with the rest of the capacity those that can be late
// and expire first.
func (o Outage) Bound(window time.Duration, windows int) []float64 {
	steps := int(time.Duration(windows)*window/boundStep) + int(o.Class.Deadline/boundStep)
	waiting, credit := make([]float64, steps), make([]float64, steps)
	perStep := o.PerSecond * boundStep.Seconds()
	for now := range steps {
		waiting[now] = perStep
		at := time.Duration(now) * boundStep
		if at < o.Down+o.Start {
			continue
		}
		serviceTime := o.ServiceTime
		if at < o.Down+o.Start+o.ColdTime {
			serviceTime = time.Duration(o.ColdFactor * float64(serviceTime))
		}
		capacity := float64(o.Hosts*o.Slots) * boundStep.Seconds() / serviceTime.Seconds()
		oldest := max(0, now-int((o.Class.Deadline-serviceTime)/boundStep))
		newestLate := max(0, now-int((o.Class.Target-serviceTime)/boundStep))
		serve := func(begun int, worth float64) {
			served := min(capacity, waiting[begun])
			capacity -= served
			waiting[begun] -= served
			credit[begun] += served * worth
		}
		for begun := newestLate; begun <= now; begun++ {
			serve(begun, 1)
		}
		for begun := oldest; begun < newestLate; begun++ {
			serve(begun, o.Class.LateCredit)
		}
	}
	shares := make([]float64, windows)
	perWindow := int(window / boundStep)
	for i := range shares {
		for _, c := range credit[i*perWindow : (i+1)*perWindow] {
			shares[i] += c / (perStep * float64(perWindow))
		}
	}
	return shares
}
