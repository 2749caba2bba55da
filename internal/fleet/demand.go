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

// demandPlanner compares the pending work with the machines and scales out by what is missing.
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

// scaleOutIfDue plans once an interval. Machines that this term has not been in contact with yet
// look as if there were none: planning then would replace the whole fleet at each failover.
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

// maxRequestSize is how many machines one request may ask for: its record names them all, and
// has to fit the state service's limits, present and announced.
func (d *demandPlanner) maxRequestSize() int {
	maxBytes := int(d.stateLimits.StoredLimits().ValueKB * 1024 * tuning.PageFillShare)
	forHosts := maxBytes - tuning.ProvisioningRecordBytes
	return max(1, min(d.provisioner.maxMachinesPerRequest, forHosts/tuning.HostNameBytes))
}

// maxRequests is how many requests the cloud's rate allows until the next pass.
func (d *demandPlanner) maxRequests() int {
	rate := d.cloudLimits.RPS * tuning.CloudRateShare * tuning.ProvisioningRateShare
	return max(1, int(rate*tuning.ScaleOutInterval.Seconds()))
}

// machinesAllowed is how many more machines the operators' bound allows, 0 standing for no bound.
// Machines requested and not yet granted count.
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

// offers lists the kinds of machines, each with as many available, or none while the cloud is
// known to have none.
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

// pending returns, for each offer, how many machines have been requested and not yet granted.
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
