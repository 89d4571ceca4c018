package sim

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

// One-way delays of a frame, by how far apart the machines are; between regions see regionDelay.
const (
	zoneDelay        = 200 * time.Microsecond
	nearDelay        = time.Millisecond
	callerNearDelay  = 500 * time.Microsecond
	backendDelay     = 500 * time.Microsecond
	connectDelay     = time.Millisecond
	firstRegionDelay = 20
	regionDelayStep  = 7
)

// contactBound is how long after a cut or a freeze a machine's knowledge isn't judged.
const contactBound = 2500 * time.Millisecond

// link is one direction between two machines, or between a machine and a back end, by name.
type link struct{ from, to string }

// network is the state of the simulated links.
type network struct {
	cuts map[link]bool
	// lastArrival keeps the frames of one link in order.
	lastArrival map[link]time.Duration
	// lastCutOff tells when a machine was last in touch with less than a majority of the machines with a disk.
	lastCutOff map[string]time.Duration
}

func newNetwork() network {
	return network{cuts: map[link]bool{}, lastArrival: map[link]time.Duration{}, lastCutOff: map[string]time.Duration{}}
}

func (w *network) isCut(from, to string) bool { return w.cuts[link{from, to}] }

// isCutEitherWay tells whether one of the two directions is cut.
func (w *network) isCutEitherWay(a, b string) bool { return w.isCut(a, b) || w.isCut(b, a) }

// regionDelay gives the one-way delay between two regions: 20, 27 or 34 ms.
func regionDelay(a, b string) time.Duration {
	step := (int(a[1]) + int(b[1])) % 3
	return time.Duration(firstRegionDelay+regionDelayStep*step) * time.Millisecond
}

// delay draws the one-way delay of a frame between two machines.
func (f *Fleet) delay(from, to *Node) time.Duration {
	delay := zoneDelay
	switch {
	case from.Zone == to.Zone:
	case from.Region == to.Region:
		delay = nearDelay
	default:
		delay = regionDelay(from.Region, to.Region)
	}
	if jitter := f.Options.JitterMillis; jitter > 0 {
		delay += time.Duration(f.random.Intn(jitter*1000)) * time.Microsecond
	}
	return delay
}

// callerDelay gives the one-way delay between a caller of a region and a machine.
func (f *Fleet) callerDelay(region string, n *Node) time.Duration {
	if region == n.Region {
		return callerNearDelay
	}
	return regionDelay(region, n.Region)
}

// transmit sends a frame to a machine by address; frames of one link arrive in order, or not at all.
func (f *Fleet) transmit(from *Node, to string, frame *schema.Frame) {
	target := f.Node(to)
	if target == nil {
		return
	}
	f.checkVote(from, frame.GetRaft())
	way := link{from.Name, target.Name}
	if f.links.cuts[way] || f.random.Intn(100) < f.Options.LossPercent {
		f.Counts["frames lost"]++
		return
	}
	copied := proto.Clone(frame).(*schema.Frame)
	arrival := max(f.Now+f.delay(from, target), f.links.lastArrival[way])
	f.links.lastArrival[way] = arrival
	boot := target.Boot
	f.after(arrival-f.Now, func() {
		if !f.links.cuts[way] {
			f.onNode(target, boot, func() { f.receive(target, copied) })
		}
	})
}

// receive hands a frame to the part of a machine that it is for.
func (f *Fleet) receive(n *Node, frame *schema.Frame) {
	if frame.Response {
		n.resolve(frame.Call, frame)
		return
	}
	switch body := frame.Body.(type) {
	case *schema.Frame_ReservationRequest:
		response := f.takeReservation(n, body.ReservationRequest)
		f.reply(n, frame, &schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: response}})
	case *schema.Frame_ReservationCopyRequest:
		response := n.replica.AnswerCopy(f.clock(n), body.ReservationCopyRequest)
		f.reply(n, frame, &schema.Frame{Body: &schema.Frame_ReservationCopyResponse{ReservationCopyResponse: response}})
	case *schema.Frame_ReplayRequest:
		response := n.kept.Replay(body.ReplayRequest)
		f.reply(n, frame, &schema.Frame{Body: &schema.Frame_ReplayResponse{ReplayResponse: response}})
	default:
		n.machine.Receive(f.clock(n), frame)
		f.perform(n)
	}
}

// resolve hands an answer to the pending call of that number, once.
func (n *Node) resolve(call uint64, answer *schema.Frame) {
	if take := n.pendingCalls[call]; take != nil {
		delete(n.pendingCalls, call)
		take(answer)
	}
}

// reply answers a frame's call.
func (f *Fleet) reply(n *Node, request, response *schema.Frame) {
	response.Call, response.Response = request.Call, true
	response.System, response.From, response.Address = n.machine.Local().System, n.id, n.address
	f.transmit(n, request.Address, response)
}

// takeReservation lets a machine's replica decide on a reservation.
func (f *Fleet) takeReservation(n *Node, request *schema.ReservationRequest) *schema.ReservationResponse {
	if f.Options.Fault == FaultReservations {
		return &schema.ReservationResponse{
			State:      schema.ReservationState_RESERVATION_TAKEN,
			Owner:      request.Owner,
			ReplicaSet: request.ReplicaSet,
		}
	}
	now := f.clock(n)
	hasLease := now < n.machine.Local().LeaseUntil || f.Options.Fault == FaultLeases
	return n.replica.Reserve(now, request, hasLease)
}

// call sends a request to a machine; take gets the answer, if one comes. A machine answers its own reservations at once.
func (f *Fleet) call(n *Node, to string, frame *schema.Frame, take func(*schema.Frame)) {
	n.serial++
	frame.Call, frame.System, frame.From, frame.Address = n.serial, n.machine.Local().System, n.id, n.address
	if to == n.address {
		if request := frame.GetReservationRequest(); request != nil {
			response := f.takeReservation(n, request)
			take(&schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: response}})
		}
		return
	}
	n.pendingCalls[n.serial] = take
	f.transmit(n, to, frame)
}

// Cut cuts or heals one direction of a link.
func (f *Fleet) Cut(from, to *Node, isCut bool) { f.links.cuts[link{from.Name, to.Name}] = isCut }

// Split cuts or heals every link between the machines inside and those outside.
func (f *Fleet) Split(isInside func(*Node) bool, isCut bool) {
	for _, a := range f.Nodes {
		for _, b := range f.Nodes {
			if isInside(a) != isInside(b) {
				f.Cut(a, b, isCut)
			}
		}
	}
}

// healAll heals every link between machines.
func (f *Fleet) healAll() {
	for _, a := range f.Nodes {
		for _, b := range f.Nodes {
			f.Cut(a, b, false)
		}
	}
}

// isConnected tells whether a machine has rows, no link of it is cut, and it wasn't frozen lately.
func (f *Fleet) isConnected(n *Node) bool {
	if f.Now < n.frozenUntil+contactBound && n.frozenUntil > 0 {
		return false
	}
	for _, other := range f.Nodes {
		if f.links.isCutEitherWay(n.Name, other.Name) {
			return false
		}
	}
	return n.machine.Local().View.Version > 0
}

// reachesMajority tells whether a machine reaches a majority of the machines with a disk.
func (f *Fleet) reachesMajority(n *Node) bool {
	disks, reached := 0, 0
	for _, other := range f.Nodes {
		if !other.HasDisk {
			continue
		}
		disks++
		if other.IsUp && !f.links.isCutEitherWay(n.Name, other.Name) {
			reached++
		}
	}
	return reached > disks/2
}

// isOutOfReach tells whether a machine was in touch with less than a majority within contactBound.
func (f *Fleet) isOutOfReach(n *Node) bool {
	at, wasCutOff := f.links.lastCutOff[n.Name]
	return wasCutOff && f.Now-at < contactBound
}

// checkVote notes a granted vote and reports a second one of the same term for another candidate.
func (f *Fleet) checkVote(voter *Node, message *schema.Raft) {
	if message == nil || message.Kind != schema.RaftKind_RAFT_VOTE_RESPONSE || message.Rejected {
		return
	}
	ballot := fmt.Sprintf("%s in term %d", voter.id, message.Term)
	if other, hasVoted := f.invariants.votes[ballot]; hasVoted && other != message.To {
		f.addViolation("%s gave its vote twice: to %s and %s", ballot, other, message.To)
	}
	f.invariants.votes[ballot] = message.To
}
