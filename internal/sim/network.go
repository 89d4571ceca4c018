package sim

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

func regionDelay(a, b string) time.Duration {
	return time.Duration(20+7*((int(a[1])+int(b[1]))%3)) * time.Millisecond
}

func (f *Fleet) delay(a, b *Node) time.Duration {
	base := 200 * time.Microsecond
	switch {
	case a.Zone == b.Zone:
	case a.Region == b.Region:
		base = time.Millisecond
	default:
		base = regionDelay(a.Region, b.Region)
	}
	if j := f.Options.JitterMillis; j > 0 {
		base += time.Duration(f.random.Intn(j*1000)) * time.Microsecond
	}
	return base
}

func (f *Fleet) transmit(from *Node, to string, frame *schema.Frame) {
	target := f.Node(to)
	if target == nil {
		return
	}
	link := [2]string{from.Name, target.Name}
	if raft := frame.GetRaft(); raft != nil && raft.Kind == schema.RaftKind_RAFT_VOTE_RESPONSE && !raft.Rejected {
		ballot := fmt.Sprintf("%s in term %d", from.id, raft.Term)
		if other, isGiven := f.votes[ballot]; isGiven && other != raft.To {
			f.addViolation("%s gave its vote twice: to %s and %s", ballot, other, raft.To)
		}
		f.votes[ballot] = raft.To
	}
	if f.cuts[link] || f.random.Intn(100) < f.Options.LossPercent {
		f.Counts["frames lost"]++
		return
	}
	copied := proto.Clone(frame).(*schema.Frame)
	at := max(f.Now+f.delay(from, target), f.lastAt[link])
	f.lastAt[link] = at
	boot := target.Boot
	f.after(at-f.Now, func() {
		if !f.cuts[link] {
			f.on(target, boot, func() { f.receive(target, copied) })
		}
	})
}

func (f *Fleet) receive(n *Node, frame *schema.Frame) {
	if frame.Response {
		if take := n.pendingCalls[frame.Call]; take != nil {
			delete(n.pendingCalls, frame.Call)
			take(frame)
		}
		return
	}
	reply := func(body *schema.Frame) {
		body.Call, body.Response, body.System, body.From, body.Address = frame.Call, true, n.machine.Local().System, n.id, n.address
		f.transmit(n, frame.Address, body)
	}
	switch body := frame.Body.(type) {
	case *schema.Frame_ReservationRequest:
		reply(&schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: f.takeReservation(n, body.ReservationRequest)}})
	case *schema.Frame_ReservationCopyRequest:
		reply(&schema.Frame{Body: &schema.Frame_ReservationCopyResponse{ReservationCopyResponse: n.replica.Copy(f.clock(n), body.ReservationCopyRequest)}})
	case *schema.Frame_ReplayRequest:
		reply(&schema.Frame{Body: &schema.Frame_ReplayResponse{ReplayResponse: n.kept.Replay(body.ReplayRequest)}})
	default:
		n.machine.Receive(f.clock(n), frame)
		f.perform(n)
	}
}

func (f *Fleet) takeReservation(n *Node, c *schema.ReservationRequest) *schema.ReservationResponse {
	if f.Options.Fault == "claims" {
		return &schema.ReservationResponse{State: schema.ReservationState_RESERVATION_TAKEN, Owner: c.Owner, ReplicaSet: c.ReplicaSet}
	}
	now := f.clock(n)
	return n.replica.Take(now, c, now < n.machine.Local().LeaseUntil || f.Options.Fault == "grants")
}

func (f *Fleet) call(n *Node, to string, frame *schema.Frame, take func(*schema.Frame)) {
	n.serial++
	frame.Call, frame.System, frame.From, frame.Address = n.serial, n.machine.Local().System, n.id, n.address
	if to == n.address {
		if c := frame.GetReservationRequest(); c != nil {
			take(&schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: f.takeReservation(n, c)}})
		}
		return
	}
	n.pendingCalls[n.serial] = take
	f.transmit(n, to, frame)
}

// Cut cuts or heals one direction of a link.
func (f *Fleet) Cut(from, to *Node, isCut bool) { f.cuts[[2]string{from.Name, to.Name}] = isCut }

// Split cuts or heals every link between two sides.
func (f *Fleet) Split(isInside func(*Node) bool, isCut bool) {
	for _, a := range f.Nodes {
		for _, b := range f.Nodes {
			if isInside(a) != isInside(b) {
				f.Cut(a, b, isCut)
			}
		}
	}
}

func (f *Fleet) isConnected(n *Node) bool {
	if f.Now < n.frozenUntil+2500*time.Millisecond && n.frozenUntil > 0 {
		return false
	}
	for _, other := range f.Nodes {
		if f.cuts[[2]string{n.Name, other.Name}] || f.cuts[[2]string{other.Name, n.Name}] {
			return false
		}
	}
	return n.machine.Local().View.Version > 0
}

func (f *Fleet) isInReach(n *Node) bool {
	disks, reached := 0, 0
	for _, other := range f.Nodes {
		if other.HasDisk {
			disks++
			if other.IsUp && !f.cuts[[2]string{n.Name, other.Name}] && !f.cuts[[2]string{other.Name, n.Name}] {
				reached++
			}
		}
	}
	return reached > disks/2
}

func (f *Fleet) isOutOfReach(n *Node) bool {
	at, wasOut := f.lastCutOff[n.Name]
	return wasOut && f.Now-at < 2500*time.Millisecond
}
