package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// RentalRec is a rental request's record, durable before the cloud is asked and until the
// last of its machines is gone.
type RentalRec struct {
	Type   string `json:"Build"`
	Zone   string `json:"Yard"`
	Spot   bool   `json:"Loaners"`
	Number int
	Hosts  []string `json:",omitempty"`
}

type rentalState int

const (
	rentalRecording rentalState = iota // its name is being made durable
	rentalAsking                       // the cloud is being asked, as often as it takes
	rentalRefused                      // the cloud had none; a late repeat of the call may still be granted
	rentalGranted                      // its machines are known
	rentalEmpty                        // nothing left of it; its record goes
)

func (s rentalState) String() string {
	return [...]string{"recording", "asking", "refused", "granted", "empty"}[s]
}

type rental struct {
	name  string
	rec   RentalRec
	state rentalState
	file  *store.DesiredValue
	busy  bool
	retry time.Time
	kept  bool // its record names its machines durably
	// action is the intended rental; the record is its entry.
	action *intentlog.Intent
	asked  time.Time     // when the cloud last answered
	gone   []goneMachine // whose removal from the record is not durable yet
}

// goneMachine is a machine that is gone and the version of the rental's record from which
// on it is not named.
type goneMachine struct {
	host    string
	version int
}

// coming tells whether machines are to be expected of a rental.
func (h *rental) coming() bool {
	return h.state == rentalRecording || h.state == rentalAsking
}

func (s *Slice) set(h *rental, st rentalState, why string) {
	if h.state != st {
		s.log.Debug("rental", "name", h.name, "from", h.state.String(), "to", st.String(), "why", why)
	}
	h.state = st
}

func (s *Slice) file(h *rental, version uint64) {
	file := store.DesiredValueOptions{Key: Rentals(s.block) + h.name, KeyVersion: version, Priority: store.PriorityTerm,
		TermCompare: s.tenure, StateCall: s.state, OnTermLost: s.lost}
	file.OnDurable = func(now time.Time, ver int) {
		s.forgetGone(h, ver)
		switch h.state {
		case rentalRecording:
			s.duties.MarkRecorded(now, h.action)
			s.set(h, rentalAsking, "recorded")
		case rentalGranted:
			h.kept = true
			for _, host := range h.rec.Hosts {
				if m := s.reg.Get(host); m != nil && m.SeenSession > 0 {
					s.enter(now, m)
				}
			}
		case rentalEmpty:
			if h.file.Durable() {
				delete(s.rentals, h.name)
			}
		}
	}
	file.OnTooLarge = func(now time.Time) bool { return s.divide(now, h) }
	h.file = store.NewDesiredValue(file)
}

// divide gives half of a rental's machines a record of their own: the service has refused
// one that names them all, by a limit that nobody announced. Until its record is durable
// no machine is used, so one that a crash leaves out of both is adopted as unexpected.
func (s *Slice) divide(now time.Time, h *rental) bool {
	n := len(h.rec.Hosts)
	if h.state != rentalGranted || n < 2 {
		return false
	}
	s.most = min(s.most, n/2)
	s.log.Warn("the state service has refused a rental's record for its size", "name", h.name, "machines", n)
	s.seq++
	half := &rental{name: s.rentalName(), rec: h.rec}
	half.rec.Hosts, half.rec.Number = h.rec.Hosts[n/2:], n-n/2
	h.rec.Hosts = h.rec.Hosts[:n/2]
	s.file(half, 0)
	s.set(half, rentalGranted, "divided")
	s.rentals[half.name] = half
	for _, host := range half.rec.Hosts {
		s.by[host] = half
	}
	for _, r := range []*rental{h, half} {
		r.file.Set(r.rec)
		r.file.Tick(now)
	}
	return true
}

// forgetGone forgets the actions that ended machines which a durable version of the
// rental's record does not name any more.
func (s *Slice) forgetGone(h *rental, version int) {
	kept := h.gone[:0]
	for _, g := range h.gone {
		if g.version > version {
			kept = append(kept, g)
			continue
		}
		s.forget(g.host)
	}
	h.gone = kept
	if h.action != nil {
		s.duties.Forget(h.action)
	}
}

// forget forgets the settled action that ended a machine.
func (s *Slice) forget(host string) {
	for _, d := range []intentlog.Operation{intentlog.Deprovision, intentlog.Reclaim} {
		if a := s.duties.Get(d, host); a != nil {
			s.duties.Forget(a)
		}
	}
}

// tokenOf is the token of the tenure that made a rental's name, 0 if it is of another form.
func tokenOf(name string) uint64 {
	var block, number int
	var token uint64
	if _, err := fmt.Sscanf(name, "b%d-%d-%d", &block, &token, &number); err != nil {
		return 0
	}
	return token
}

func (s *Slice) rentalName() string { return fmt.Sprintf("b%d-%d-%d", s.block, s.token, s.seq) }

// Load takes over a rental record of an earlier tenure.
func (s *Slice) Load(now time.Time, it wire.KeyValue) {
	name := strings.TrimPrefix(it.Key, Rentals(s.block))
	var rec RentalRec
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		s.log.Error("rental record cannot be read", "key", it.Key, "error", err)
		s.unread++
		return
	}
	h := &rental{name: name, rec: rec}
	s.file(h, it.Version)
	s.rentals[name] = h
	if len(rec.Hosts) == 0 {
		// The earlier holder did not get to write the answer down. Asking
		// again by the same name tells it, or rents the machines now.
		h.action = s.duties.RecoverElsewhere(now, intentlog.Provision, name, tokenOf(name))
		s.set(h, rentalAsking, "taken over without an answer")
		return
	}
	s.set(h, rentalGranted, "taken over")
	h.kept = true
	for _, host := range rec.Hosts {
		s.by[host] = h
		s.addMachine(now, host, worker.Booting, rec.Type, rec.Zone, rec.Spot).Recorded = true
	}
}

// Named tells of a rental record whose block's it is and which machines it names,
// none while it waits for them.
func Named(it wire.KeyValue) (block int, hosts []string) {
	num, _, _ := strings.Cut(strings.TrimPrefix(it.Key, UnderRentals), "/")
	var rec RentalRec
	block, err := strconv.Atoi(num)
	if err != nil || json.Unmarshal(it.Value, &rec) != nil {
		return 0, nil
	}
	return block, rec.Hosts
}

// Unanswered tells whether a rental record is one of a block's that names no machines yet,
// and under which token it was entered.
func Unanswered(it wire.KeyValue, block int) (name string, token uint64, open bool) {
	name, ok := strings.CutPrefix(it.Key, Rentals(block))
	if !ok {
		return "", 0, false
	}
	var rec RentalRec
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return "", 0, false
	}
	return name, tokenOf(name), len(rec.Hosts) == 0
}

// unsettled tells whether some rental's machines are not known yet.
func (s *Slice) unsettled() bool {
	return slices.ContainsFunc(s.sorted(), (*rental).coming)
}

// ask asks the cloud for a rental's machines. The name stays the same until the
// answer is certain: repeating it rents nothing twice.
func (s *Slice) ask(now time.Time, h *rental) {
	if !s.duties.StartCall(now, h.action) {
		return
	}
	h.busy = true
	s.call(Call{Op: OpRent, Rental: wire.ProvisionRequest{Name: h.name, Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot, Count: h.rec.Number}},
		func(now time.Time, r Result) {
			h.busy, h.asked = false, now
			s.duties.FinishCall(now, h.action, r.outcome())
			kind := h.kind()
			switch {
			case r.Status == 200:
				s.granted(now, h, r.Hosts)
				if len(r.Hosts) < h.rec.Number {
					s.noneUntil[kind] = now.Add(tuning.CapacityRetry)
				}
			case r.Status == 503 && r.Error == NoCapacity:
				s.noneUntil[kind] = now.Add(tuning.CapacityRetry)
				s.refused(now, h)
			case r.Status == 400:
				s.log.Error("rental refused as malformed", "name", h.name, "type", h.rec.Type)
				s.noneUntil[kind] = now.Add(tuning.CapacityRetry)
				s.drop(now, h, "malformed")
			default:
				h.retry = s.pause(now)
			}
		})
}

// refused ends a rental of which the cloud had none. While duties are logged its name is
// kept for as long as a repeat of the call may come late and be granted: the next rental
// of the kind asks by the same name, and so does whoever finds machines that no record
// explains.
func (s *Slice) refused(now time.Time, h *rental) {
	if s.duties.Durable() {
		s.set(h, rentalRefused, "no capacity")
		return
	}
	s.drop(now, h, "no capacity")
}

// dropRefused ends a refused rental of which no call can come late any more.
func (s *Slice) dropRefused(now time.Time, h *rental) {
	if h.state == rentalRefused && now.Sub(h.asked) > tuning.LateCall {
		s.drop(now, h, "no capacity")
	}
}

// askAgain asks for a refused rental of a kind once more, and tells whether there is one
// that the cloud has not just answered.
func (s *Slice) askAgain(now time.Time, kind string, most int) *rental {
	for _, h := range s.sorted() {
		if h.state == rentalRefused && h.kind() == kind && h.rec.Number <= most && now.Sub(h.asked) >= tuning.CapacityRetry {
			s.set(h, rentalAsking, "asked for again")
			return h
		}
	}
	return nil
}

// kind is the kind of machine that a rental is for.
func (h *rental) kind() string { return kindOf(h.rec.Type, h.rec.Zone, h.rec.Spot) }

func (s *Slice) drop(now time.Time, h *rental, why string) {
	if h.action != nil {
		s.duties.Complete(now, h.action, why)
	}
	s.set(h, rentalEmpty, why)
	h.file.Set(nil)
	h.file.Tick(now)
}

func (s *Slice) granted(now time.Time, h *rental, hosts []string) {
	s.log.Info("machines rented", "name", h.name, "type", h.rec.Type, "zone", h.rec.Zone, "spot", h.rec.Spot, "asked", h.rec.Number, "got", len(hosts))
	// some may have been adopted already, or deleted by an earlier tenure's entry
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return s.by[host] != nil || s.reg.IsGone(host) })
	if len(hosts) == 0 {
		s.drop(now, h, "no machines")
		return
	}
	s.set(h, rentalGranted, "answered")
	h.rec.Hosts = hosts
	h.file.Set(h.rec)
	for _, host := range hosts {
		s.by[host] = h
		s.addMachine(now, host, worker.Booting, h.rec.Type, h.rec.Zone, h.rec.Spot).Recorded = true
	}
	h.file.Tick(now)
}

func kindOf(build, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%t", build, zone, spot)
}

// demand compares the waiting work with the machines and rents the rest.
func (s *Slice) demand(now time.Time) {
	var offers []placement.Offer
	// as many as can be asked for by the time of the next look
	page := s.rentalMost()
	left := page * max(1, int(s.facts.Cloud.RPS*tuning.CloudShare*tuning.RentalShare*tuning.DemandEvery.Seconds()))
	room := s.room()
	for _, name := range slices.Sorted(maps.Keys(s.machineTypes)) {
		f := s.machineTypes[name]
		for _, zone := range f.Zones {
			for _, spot := range []bool{true, false} {
				o := placement.Offer{Type: f.Name, Zone: zone, Spot: spot, Price: f.Price, BootSeconds: f.BootTimeS, Available: left,
					Capacity: quota.Resources{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb}}
				if spot {
					o.Price = f.SpotPrice
				}
				if now.Before(s.noneUntil[kindOf(f.Name, zone, spot)]) || s.Set.Paused || room == 0 {
					o.Available = 0
				}
				offers = append(offers, o)
			}
		}
	}
	// machines asked for and not yet granted count as on their way
	coming := make([]int, len(offers))
	for _, h := range s.sorted() {
		if h.coming() {
			for i, o := range offers {
				if o.Type == h.rec.Type && o.Zone == h.rec.Zone && o.Spot == h.rec.Spot {
					coming[i] += h.rec.Number
				}
			}
		}
	}
	need := s.board.ProvisioningDemand(now, offers, coming)
	for i, n := range need {
		if n <= 0 {
			continue
		}
		o := offers[i]
		n = min(n, room)
		room -= n
		for n > 0 {
			h := s.askAgain(now, kindOf(o.Type, o.Zone, o.Spot), n)
			if h == nil {
				h = s.rental(now, RentalRec{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Number: min(n, page)})
			}
			n -= h.rec.Number
		}
	}
}

// rentalMost is how many machines one rental request may ask for: its record names them
// all, and has to fit the state service now and after its limits fall.
func (s *Slice) rentalMost() int {
	bytes := int(s.facts.State.StoredLimits().ValueKB*1024*tuning.PageFill) - tuning.RentalBytes
	return max(1, min(s.most, bytes/tuning.HostBytes))
}

// room is how many machines may still be rented by the operators' bound, which
// counts those asked for and not yet granted.
func (s *Slice) room() int {
	if s.Set.MaxMachines <= 0 {
		return math.MaxInt
	}
	room := s.Set.MaxMachines
	for _, m := range s.reg.All() {
		if m.State != worker.Deleting {
			room--
		}
	}
	for _, h := range s.rentals {
		if h.coming() {
			room -= h.rec.Number
		}
	}
	return max(0, room)
}

// rental makes a new one's name durable; the cloud is asked afterwards.
func (s *Slice) rental(now time.Time, rec RentalRec) *rental {
	s.seq++
	h := &rental{name: s.rentalName(), rec: rec}
	h.action = s.duties.RecordElsewhere(now, intentlog.Provision, h.name, "waiting work")
	s.file(h, 0)
	s.rentals[h.name] = h
	s.log.Info("renting", "name", h.name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "number", rec.Number)
	h.file.Set(h.rec)
	h.file.Tick(now)
	return h
}
