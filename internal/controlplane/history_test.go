package controlplane_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"topazshed/internal/schema"
	"topazshed/internal/testseeds"
)

// A register that holds the newest configuration: it is put on top of the version that it holds, one that was taken is taken again, and it is read.
type putOrRead struct {
	isRead           bool
	generation, base uint64
	text             string
}

// answer is what an operator was told in the end; one that is unknown may have taken effect or not.
type answer struct {
	isUnknown bool
	isTaken   bool
	version   uint64
	text      string
}

// The register's state is the list of all that it took, the newest last.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{"0:"} },
		Step: func(state, input, output any) []any {
			taken, op, got := state.(string), input.(putOrRead), output.(answer)
			newest := taken[strings.LastIndex(taken, ",")+1:]
			mark := fmt.Sprintf("%d:%s", op.generation, op.text)
			if op.isRead {
				if got.isUnknown || newest == fmt.Sprintf("%d:%s", got.version, got.text) {
					return []any{state}
				}
				return nil
			}
			var version uint64
			fmt.Sscan(newest[:strings.Index(newest, ":")], &version)
			isKnown := slices.Contains(strings.Split(taken, ","), mark)
			isFit := !isKnown && op.base == version && op.generation > version
			switch {
			case got.isUnknown && isFit:
				return []any{state, taken + "," + mark}
			case got.isUnknown:
				return []any{state}
			case got.isTaken && isFit:
				return []any{taken + "," + mark}
			case got.isTaken && isKnown, !got.isTaken && !isKnown && !isFit:
				return []any{state}
			}
			return nil
		},
	}
	return model.ToModel()
}

// operators give orders, several at once, and send each again, to other machines too, until it has a clear answer or they tire of it.
type operators struct {
	w          *world
	operations []porcupine.Operation
	ackLoss    float64
	open       int
	taken      int
	refused    int
}

const (
	maxSinceHeard = time.Second
	maxTries      = 12
)

func (o *operators) give(op putOrRead) {
	w := o.w
	o.open++
	index := len(o.operations)
	o.operations = append(o.operations, porcupine.Operation{ClientId: index, Input: op, Call: int64(w.now), Output: answer{isUnknown: true}, Return: int64(1 << 62)})
	request := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}
	if !op.isRead {
		request = routesOf(op.generation, op.base, op.text)
	}
	isDone := false
	end := func(got answer) {
		isDone = true
		o.open--
		if !got.isUnknown {
			o.operations[index].Output, o.operations[index].Return = got, int64(w.now)
		}
	}
	tries := 0
	var try func()
	try = func() {
		if isDone {
			return
		}
		if tries++; tries > maxTries {
			end(answer{isUnknown: true})
			return
		}
		number := tries
		again := func(pause time.Duration) {
			w.after(pause, func() {
				if !isDone && tries == number {
					try()
				}
			})
		}
		again(maxSinceHeard)
		up := slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool { return !m.isUp })
		leading := slices.DeleteFunc(slices.Clone(up), func(m *machine) bool { return !m.control.IsLeading() })
		if len(leading) > 0 && w.random.Intn(2) == 0 {
			up = leading
		}
		if len(up) == 0 {
			return
		}
		w.operate(up[w.random.Intn(len(up))], request, func(response *schema.OperatorResponse) {
			switch {
			case isDone || w.random.Float64() < o.ackLoss:
			case response.Refusal == schema.RefusalKind_REFUSAL_NO_LEADER || response.Refusal == schema.RefusalKind_REFUSAL_AMBIGUOUS:
				if tries == number {
					again(time.Duration(50*number) * time.Millisecond)
				}
			case op.isRead:
				end(answer{version: response.Version, text: string(response.Document)})
			case response.Refusal == schema.RefusalKind_REFUSAL_NONE:
				o.taken++
				end(answer{isTaken: true})
			default:
				o.refused++
				end(answer{})
			}
		})
	}
	try()
}

// newest is the highest version that any machine holds.
func (w *world) newest() uint64 {
	var newest uint64
	for _, m := range w.machines {
		if m.isUp {
			newest = max(newest, m.control.Local().View.Head.GetVersion())
		}
	}
	return newest
}

// trouble brings something about for a while; the world ends it by itself.
type trouble func(w *world)

func (w *world) disks() []*machine {
	return slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool { return !m.isDisk })
}

// victim is a running machine with a disk, half of the time the one that leads.
func (w *world) victim() *machine {
	if leader := w.leader(); leader != nil && w.random.Intn(2) == 0 {
		return leader
	}
	up := slices.DeleteFunc(w.disks(), func(m *machine) bool { return !m.isUp })
	if len(up) == 0 {
		return nil
	}
	return up[w.random.Intn(len(up))]
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int63n(int64(most-least)))
}

func cutOff(w *world) {
	if m := w.victim(); m != nil {
		w.isolate(m, true)
		w.after(w.between(2*time.Second, 20*time.Second), func() { w.isolate(m, false) })
	}
}

// splitOff cuts the leader and another machine off from the rest; operators reach both sides.
func splitOff(w *world) {
	inside := map[*machine]bool{w.victim(): true, w.machines[w.random.Intn(len(w.machines))]: true}
	set := func(isCut bool) {
		for _, a := range w.machines {
			for _, b := range w.machines {
				if inside[a] != inside[b] {
					w.cut(a, b, isCut)
				}
			}
		}
	}
	set(true)
	w.after(w.between(2*time.Second, 20*time.Second), func() { set(false) })
}

func cutOneWay(w *world) {
	m := w.victim()
	if m == nil {
		return
	}
	isOut := w.random.Intn(2) == 0
	set := func(isCut bool) {
		for _, other := range w.machines {
			if other != m && isOut {
				w.cut(m, other, isCut)
			} else if other != m {
				w.cut(other, m, isCut)
			}
		}
	}
	set(true)
	w.after(w.between(time.Second, 8*time.Second), func() { set(false) })
}

func freeze(w *world) {
	if m := w.victim(); m != nil {
		m.frozenUntil = max(m.frozenUntil, w.now+w.between(300*time.Millisecond, 6*time.Second))
	}
}

func killOne(w *world) {
	if m := w.victim(); m != nil {
		m.kill()
		w.after(w.between(200*time.Millisecond, 3*time.Second), m.start)
	}
}

func powerOne(w *world) {
	if m := w.victim(); m != nil {
		m.cutPower()
		w.after(w.between(200*time.Millisecond, 3*time.Second), m.start)
	}
}

func powerAll(w *world) {
	for _, m := range w.machines {
		if m.isUp {
			m.cutPower()
			w.after(w.between(300*time.Millisecond, 1500*time.Millisecond), m.start)
		}
	}
}

func wipeOne(w *world) {
	if m := w.victim(); m != nil {
		m.kill()
		m.wipe()
		w.after(w.between(500*time.Millisecond, 2*time.Second), m.start)
	}
}

func stallDisk(w *world) {
	if m := w.victim(); m != nil {
		m.syncTime = w.between(100*time.Millisecond, 3*time.Second)
		w.after(w.between(time.Second, 6*time.Second), func() { m.syncTime = 0 })
	}
}

// Any mix of orders and troubles must look to operators as one register: no change that was confirmed is lost, none that was refused is in force,
// of two under one number one is confirmed, and an order that was taken is never refused when it is sent again.
func TestOperatorsSeeOneRegister(t *testing.T) {
	for _, c := range []struct {
		name     string
		troubles []trouble
		every    time.Duration
		loss     float64
		ackLoss  float64
	}{
		{"calm", nil, time.Hour, 0, 0},
		{"answers are lost", nil, time.Hour, 0, 0.7},
		{"frames are lost", nil, time.Hour, 0.05, 0.2},
		{"machines are cut off for up to 20 s", []trouble{cutOff}, 9 * time.Second, 0, 0.2},
		{"the core is split for up to 20 s", []trouble{splitOff}, 9 * time.Second, 0, 0.2},
		{"machines are cut off one way", []trouble{cutOneWay}, 6 * time.Second, 0, 0.2},
		{"machines stand still", []trouble{freeze}, 3 * time.Second, 0, 0.2},
		{"processes are killed", []trouble{killOne}, 2 * time.Second, 0, 0.2},
		{"machines lose their power", []trouble{powerOne}, 2 * time.Second, 0, 0.2},
		{"all lose their power", []trouble{powerAll}, 7 * time.Second, 0, 0.2},
		{"disks are lost one after the other", []trouble{wipeOne}, 8 * time.Second, 0, 0.2},
		{"disks stall", []trouble{stallDisk}, 4 * time.Second, 0, 0.2},
		{"anything", []trouble{cutOneWay, freeze, killOne, powerOne, stallDisk}, 3 * time.Second, 0.01, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testseeds.Each(t, 8, func(t *testing.T, seed int64) {
				w := newWorld(t, seed, 6, 2)
				o := &operators{w: w, ackLoss: c.ackLoss}
				w.loss = c.loss
				var strike func()
				strike = func() {
					c.troubles[w.random.Intn(len(c.troubles))](w)
					w.after(w.between(c.every/2, c.every*3/2), strike)
				}
				if len(c.troubles) > 0 {
					w.after(w.between(0, c.every), strike)
				}
				for range 150 {
					if o.open < 8 {
						o.give(o.draw())
					}
					w.run(w.between(20*time.Millisecond, 400*time.Millisecond))
				}
				w.run(maxTries * maxSinceHeard)
				if o.taken < 5 {
					t.Errorf("seed %d: only %d orders were taken, %d refused", seed, o.taken, o.refused)
				}
				result := porcupine.CheckOperationsTimeout(registerModel(), o.operations, 20*time.Second)
				if result != porcupine.Ok {
					t.Fatalf("seed %d: the answers are those of no register (%v): %s", seed, result, o.describe())
				}
			})
		})
	}
}

// draw makes an order: mostly a change on the newest version or on the one before, two operators often under one number; sometimes a read.
func (o *operators) draw() putOrRead {
	w := o.w
	if w.random.Intn(4) == 0 {
		return putOrRead{isRead: true}
	}
	newest := w.newest()
	base := newest - min(newest, uint64(w.random.Intn(2)))
	return putOrRead{generation: base + 1 + uint64(w.random.Intn(2)), base: base, text: fmt.Sprint("t", w.random.Intn(1000))}
}

func (o *operators) describe() string {
	var text strings.Builder
	for _, op := range o.operations {
		end := "never"
		if op.Return < 1<<62 {
			end = fmt.Sprint(time.Duration(op.Return) - time.Hour)
		}
		fmt.Fprintf(&text, "\n%v to %s: %+v -> %+v", time.Duration(op.Call)-time.Hour, end, op.Input, op.Output)
	}
	return text.String()
}
