package fleet

import (
	"math"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/placement"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// demandPlanner compares the pending workload with the available machines and scales out by the
// shortfall.
type demandPlanner struct {
	cloudLimits config.CloudLimits
	stateLimits config.StateLimits
	registry    *worker.Registry
	scheduler   *placement.Scheduler
	types       *machineTypes
	provisioner *provisioner

	termStartedAt time.Time
	nextPlanAt    time.Time
}

// scaleOutIfDue scales out at most once per interval. It waits after a failover, since planning
// without the machines that are not reconciled yet would provision the whole fleet anew.
func (d *demandPlanner) scaleOutIfDue(now time.Time, settings Settings) {
	if len(d.types.byName) == 0 || now.Before(d.nextPlanAt) {
		return
	}
	if !d.scheduler.Reconciled() && now.Sub(d.termStartedAt) <= tuning.ScaleOutDelay {
		return
	}
	d.nextPlanAt = now.Add(tuning.ScaleOutInterval)
	d.scaleOut(now, settings)
}

func (d *demandPlanner) scaleOut(now time.Time, settings Settings) {
	requestSize := d.maxRequestSize()
	allowed := d.machinesAllowed(settings.MaxMachines)
	available := 0
	if !settings.Paused && allowed > 0 {
		available = requestSize * d.maxRequests()
	}
	offers := d.offers(now, available)
	for index, count := range d.scheduler.ProvisioningDemand(now, offers, d.pending(offers)) {
		if count <= 0 {
			continue
		}
		count = min(count, allowed)
		allowed -= count
		offer := offers[index]
		for count > 0 {
			record := ProvisioningRecord{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot,
				Number: min(count, requestSize)}
			count -= d.provisioner.request(now, record, count)
		}
	}
}

// maxRequestSize returns the number of machines that one request may ask for. The request's record
// names them all and must fit the state service's present and announced limits.
func (d *demandPlanner) maxRequestSize() int {
	maxBytes := int(d.stateLimits.RecordLimits().ValueKB * 1024 * tuning.PageFillShare)
	forHosts := maxBytes - tuning.ProvisioningRecordBytes
	return max(1, min(d.provisioner.maxMachinesPerRequest, forHosts/tuning.HostNameBytes))
}

// maxRequests returns the number of requests that the cloud's rate limit allows per interval.
func (d *demandPlanner) maxRequests() int {
	rate := d.cloudLimits.RPS * tuning.CloudRateShare * tuning.ProvisioningRateShare
	return max(1, int(rate*tuning.ScaleOutInterval.Seconds()))
}

// machinesAllowed returns the number of machines that may be added under the operators' bound, where
// 0 means no bound. Machines requested and not yet granted count towards the bound.
func (d *demandPlanner) machinesAllowed(maxMachines int) int {
	if maxMachines <= 0 {
		return math.MaxInt
	}
	allowed := maxMachines
	for _, machine := range d.registry.All() {
		if machine.State != worker.Deleting {
			allowed--
		}
	}
	for _, request := range d.provisioner.requests {
		if request.pending() {
			allowed -= request.record.Number
		}
	}
	return max(0, allowed)
}

// offers returns an offer for each kind of machine. Each has the given number available, or zero
// after the cloud has reported no capacity for the kind.
func (d *demandPlanner) offers(now time.Time, available int) []placement.Offer {
	var offers []placement.Offer
	for _, name := range d.types.names() {
		machineType := d.types.byName[name]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				offer := newOffer(machineType, zone, spot)
				if d.provisioner.hasCapacity(now, kindOf(offer)) {
					offer.Available = available
				}
				offers = append(offers, offer)
			}
		}
	}
	return offers
}

func newOffer(machineType wire.MachineType, zone string, spot bool) placement.Offer {
	price := machineType.Price
	if spot {
		price = machineType.SpotPrice
	}
	return placement.Offer{Type: machineType.Name, Zone: zone, Spot: spot, Price: price,
		BootSeconds: machineType.BootTimeS, Capacity: capacityOf(machineType)}
}

func kindOf(offer placement.Offer) machineKind {
	return machineKind{machineType: offer.Type, zone: offer.Zone, spot: offer.Spot}
}

// pending returns the number of machines requested and not yet granted for each offer.
func (d *demandPlanner) pending(offers []placement.Offer) []int {
	numbers := map[machineKind]int{}
	for _, request := range d.provisioner.requests {
		if request.pending() {
			numbers[request.record.kind()] += request.record.Number
		}
	}
	pending := make([]int, len(offers))
	for index, offer := range offers {
		pending[index] = numbers[kindOf(offer)]
	}
	return pending
}
