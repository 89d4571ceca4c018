package controlplane

import (
	"crypto/sha256"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/catalog"
	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/routes"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Operators' orders: the leader decides them, the other nodes pass them on to it.

// Operate takes a local operator's request.
func (c *Machine) Operate(now time.Duration, ticket uint64, request *schema.OperatorRequest) {
	c.now = now
	c.operate(&pendingRequest{ticket: ticket, request: request})
}

func (c *Machine) operate(w *pendingRequest) {
	if w.until == 0 {
		w.bornAt, w.until = c.now, c.now+constants.ProposalWait
	}
	if !c.IsLeading() {
		c.operateElsewhere(w)
		return
	}
	switch w.request.Kind {
	case schema.OperatorKind_OPERATOR_PUT_ROUTES:
		c.operatePutRoutes(w)
	case schema.OperatorKind_OPERATOR_PUT:
		c.operatePut(w)
	case schema.OperatorKind_OPERATOR_SHOW, schema.OperatorKind_OPERATOR_STATUS, schema.OperatorKind_OPERATOR_ASK:
		c.read(w)
	case schema.OperatorKind_OPERATOR_EMPTY, schema.OperatorKind_OPERATOR_RESTORE:
		c.operateZone(w)
	default:
		c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_UNKNOWN, Message: "unknown operator query"})
	}
}

func (c *Machine) reply(w *pendingRequest, response *schema.OperatorResponse) {
	if w.to != "" {
		c.send(w.to, &schema.Frame{Call: w.call, Body: &schema.Frame_OperatorResponse{OperatorResponse: response}})
		return
	}
	c.effects.Responses = append(c.effects.Responses, LocalResponse{w.ticket, response})
}

// operateElsewhere has another node decide an order, or refuses it to the node that passed it on.
func (c *Machine) operateElsewhere(w *pendingRequest) {
	if w.to != "" {
		c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "the node asked does not lead; ask again shortly"})
		return
	}
	if c.routed == nil && (c.leader == "" || c.leader == c.self.Address || c.now-c.leaderAt > constants.NodeLostAfter) {
		c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "no leader is known; ask again shortly, and run doctor if it lasts"})
		return
	}
	w.isSent, w.isConfirmed = true, false
	c.operations = append(c.operations, w)
	c.passOn(w)
}

// read waits for a majority to confirm that this machine still leads; answerRead then goes on with the order.
func (c *Machine) read(w *pendingRequest) {
	c.nextRead++
	c.reads[c.nextRead] = w
	if err := c.quorum.Read(c.now, c.nextRead); err != nil {
		delete(c.reads, c.nextRead)
		c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: err.Error()})
	}
}

// answer gives an answer that rests on this machine's state and not on a commit of its own: a refusal, or the word that an order changes nothing
// or was taken before. A machine that leads no more, and does not know it yet, would give it by old state: so a majority must have confirmed,
// after the order came, that this one leads. The order is then decided anew on the state of that moment.
func (c *Machine) answer(w *pendingRequest, response *schema.OperatorResponse) {
	if w.isConfirmed {
		c.reply(w, response)
		return
	}
	c.read(w)
}

func (c *Machine) operatePut(w *pendingRequest) {
	if len(c.view.Regions) == 0 || len(c.view.Services) == 0 {
		c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "no back end is known from the platform's list yet; ask again shortly"})
		return
	}
	if c.proposals.IsInFlight(store.HeadKey) {
		c.answer(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_CONFLICT, Version: store.DecodeRow[schema.CatalogHead](c.table.Get(store.HeadKey)).GetVersion() + 1,
			Message: "another configuration is being accepted; read it, merge, and put again"})
		return
	}
	if head := store.DecodeRow[schema.CatalogHead](c.table.Get(store.HeadKey)); w.request.Key != "" && head.GetOperatorKey() == w.request.Key {
		c.answer(w, &schema.OperatorResponse{Version: head.Version, Index: c.table.Get(store.HeadKey).Index})
		return
	}
	entries, faults := catalog.Read(w.request.Document, c.view)
	if len(faults) > 0 {
		c.answer(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_INVALID, Message: "the configuration is declined whole; nothing changed", Faults: faults})
		return
	}
	record, version, err := catalog.Plan(c.table, entries, w.request.Document, w.request.Base, w.request.Key)
	if err != nil {
		c.answer(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_CONFLICT, Message: err.Error(),
			Version: store.DecodeRow[schema.CatalogHead](c.table.Get(store.HeadKey)).GetVersion()})
		return
	}
	catalog.Assignments(c.view, c.table, record)
	c.submit(w, record, version)
}

func (c *Machine) submit(w *pendingRequest, record *schema.Record, version uint64) {
	position, err := c.proposals.Submit(c.now, record)
	if err != nil {
		c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: err.Error()})
		return
	}
	w.index, w.term, w.version = uint64(position.Index), uint64(position.Term), version
	c.operations = append(c.operations, w)
}

func (c *Machine) operateZone(w *pendingRequest) {
	isEmpty := w.request.Kind == schema.OperatorKind_OPERATOR_EMPTY
	key := store.ZoneKey(w.request.Zone)
	row := c.table.Get(key)
	zone := store.DecodeRow[schema.Zone](row)
	if zone == nil {
		c.answer(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_UNKNOWN, Message: "district " + w.request.Zone + " is not known; see status for the names"})
		return
	}
	if zone.Emptied == isEmpty && !c.proposals.IsInFlight(key) {
		c.answer(w, &schema.OperatorResponse{Index: row.Index, Unconfirmed: c.unconfirmed(row.Index)})
		return
	}
	fresh := proto.Clone(zone).(*schema.Zone)
	fresh.Emptied, fresh.Reason = isEmpty, w.request.Reason
	fresh.Settling = c.routed != nil && !isEmpty
	c.submit(w, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: "district " + zone.Name, Rows: []*schema.Row{store.EncodeRow(key, fresh)}}, 0)
}

func (c *Machine) settle(item *schema.LogItem) {
	_, isVoid := c.verdicts[item.Index]
	delete(c.verdicts, item.Index)
	var again []*pendingRequest
	for i := 0; i < len(c.operations); i++ {
		w := c.operations[i]
		if w.isSent || w.index != item.Index {
			continue
		}
		c.operations = slices.Delete(c.operations, i, i+1)
		i--
		switch {
		case w.term != item.Term:
			c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "the leader changed before the query was accepted; it was not taken, ask again"})
		case isVoid:
			again = append(again, w)
		default:
			c.duties.PlanNow()
			if c.routed != nil {
				c.reply(w, &schema.OperatorResponse{Version: w.version, Index: w.index})
				continue
			}
			w.until = c.now + constants.ConfirmWait
			c.confirming = append(c.confirming, w)
		}
	}
	for _, w := range again {
		w.index, w.term, w.isConfirmed = 0, 0, false
		c.undecided = append(c.undecided, w)
	}
}

// decideAgain takes the orders whose records were void, because another one came before them in the log: that may have been the same order,
// proposed by a former leader or twice by this one, which is no conflict.
func (c *Machine) decideAgain() {
	undecided := c.undecided
	c.undecided = nil
	for _, w := range undecided {
		c.operate(w)
	}
}

func (c *Machine) unconfirmed(index uint64) []string {
	var zones []string
	for _, node := range c.duties.Fleet().Unreached(c.view, raft.Index(index)) {
		if !slices.Contains(zones, node.Zone) {
			zones = append(zones, node.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func (c *Machine) newestOperation() uint64 {
	newest := c.table.Get(store.HeadKey).GetIndex()
	for name := range c.view.Zones {
		newest = max(newest, c.table.Get(store.ZoneKey(name)).GetIndex())
	}
	return newest
}

func (c *Machine) confirm() {
	c.confirming = slices.DeleteFunc(c.confirming, func(w *pendingRequest) bool {
		response := &schema.OperatorResponse{Version: w.version, Index: w.index, Unconfirmed: c.unconfirmed(w.index)}
		isOver := len(response.Unconfirmed) == 0 || c.now >= w.until || !c.IsLeading()
		if isOver {
			c.reply(w, response)
		}
		return isOver
	})
}

func (c *Machine) answerRead(ticket uint64) {
	w := c.reads[ticket]
	if w == nil {
		return
	}
	delete(c.reads, ticket)
	if isDecided(w.request.Kind) {
		w.isConfirmed = true
		c.operate(w)
		return
	}
	document := store.DecodeRow[schema.CatalogDocument](c.table.Get(store.DocumentKey))
	response := &schema.OperatorResponse{Version: document.GetVersion(), Document: document.GetDocument(), Index: uint64(c.table.Version())}
	if w.request.Kind == schema.OperatorKind_OPERATOR_STATUS {
		response = &schema.OperatorResponse{Version: document.GetVersion(), Index: c.newestOperation(), Unconfirmed: c.unconfirmed(c.newestOperation()),
			Reports: c.reports(), Changes: c.changes}
		response.ToleratedLosses, response.UnresponsiveVoters = c.duties.ToleratedLosses(c.state())
	}
	head := store.DecodeRow[schema.CatalogHead](c.table.Get(store.HeadKey))
	if w.request.Kind == schema.OperatorKind_OPERATOR_ASK && head.GetOperatorKey() != w.request.Key {
		response = &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_UNKNOWN, Version: head.GetVersion(),
			Message: "the newest configuration was not put with that key; read it back and compare"}
	}
	c.reply(w, response)
}

// isDecided tells whether an order of that kind is decided by the leader, and not only read from its state.
func isDecided(kind schema.OperatorKind) bool {
	switch kind {
	case schema.OperatorKind_OPERATOR_SHOW, schema.OperatorKind_OPERATOR_STATUS, schema.OperatorKind_OPERATOR_ASK:
		return false
	}
	return true
}

// loseRead goes on with what waited for a majority to confirm that this machine leads, which it does no more.
func (c *Machine) loseRead(ticket uint64) {
	w := c.reads[ticket]
	if w == nil {
		return
	}
	delete(c.reads, ticket)
	if c.routed != nil {
		c.operate(w)
		return
	}
	c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "the leader changed while it answered; ask again"})
}

func (c *Machine) expire() {
	c.confirm()
	c.resumeDeferred()
	c.askAgain()
	for i := 0; i < len(c.operations); i++ {
		if w := c.operations[i]; c.now > w.until {
			c.operations = slices.Delete(c.operations, i, i+1)
			i--
			c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_AMBIGUOUS, Message: "no majority answered in time; the query may still be taken, ask with its key or read back"})
		}
	}
	for ticket, w := range c.reads {
		if c.now > w.until {
			delete(c.reads, ticket)
			c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "no majority answered in time; ask again"})
		}
	}
	if c.quorum == nil {
		c.perform(c.subscription.DropUnwanted(c.now))
	}
}

func (c *Machine) operatePutRoutes(w *pendingRequest) {
	if c.routed == nil {
		c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_UNKNOWN, Message: "this fleet carries entries, not routes; put a configuration of entries"})
		return
	}
	if c.proposals.IsInFlight(store.HeadKey) {
		c.routed.deferred = append(c.routed.deferred, w)
		return
	}
	head := store.DecodeRow[schema.CatalogHead](c.table.Get(store.HeadKey))
	config := w.request.Routes
	digest := sha256.Sum256(config.GetDocument())
	switch routes.Recall(c.table, config, digest[:]) {
	case routes.Accepted:
		c.answer(w, &schema.OperatorResponse{Version: config.Version, Index: c.table.Get(store.HeadKey).Index})
		return
	case routes.Forgotten:
		c.answer(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_AMBIGUOUS, Version: head.GetVersion(),
			Message: "this configuration is older than what is remembered of accepted ones; read the newest back and compare"})
		return
	}
	if config.GetBase() != head.GetVersion() {
		c.answer(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_CONFLICT, Version: head.GetVersion(), Message: "another configuration is in place; read it, merge, and put again on its version"})
		return
	}
	if faults := routes.Check(config, head.GetVersion(), c.view); len(faults) > 0 {
		c.answer(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_INVALID, Version: head.GetVersion(), Message: "the configuration is declined whole; nothing changed", Faults: faults})
		return
	}
	record := routes.Plan(c.table, config, digest[:])
	if !c.fits(record) {
		c.answer(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_OVERSIZE, Version: head.GetVersion(),
			Message: "the change, or the state with it, does not fit the disks of this system's voters; put it in several smaller changes, put fewer routes, or give them larger disks"})
		return
	}
	c.submit(w, record, config.Version)
}

// fits tells whether the voters' disks have room for a record in the log, and for a snapshot of the state with it.
func (c *Machine) fits(record *schema.Record) bool {
	options := c.routed.options
	if options.Fits != nil && !options.Fits(record) {
		return false
	}
	if options.FitsWhole == nil {
		return true
	}
	isChanged := map[string]bool{}
	for _, row := range record.Rows {
		isChanged[row.Key] = true
	}
	whole := c.table.Whole()
	whole.Rows = slices.DeleteFunc(whole.Rows, func(row *schema.Row) bool { return isChanged[row.Key] })
	for _, row := range record.Rows {
		if !row.Gone {
			whole.Rows = append(whole.Rows, row)
		}
	}
	return options.FitsWhole(whole)
}

func (c *Machine) resumeDeferred() {
	if c.routed == nil || len(c.routed.deferred) == 0 || c.proposals.IsInFlight(store.HeadKey) && c.IsLeading() {
		return
	}
	deferred := c.routed.deferred
	c.routed.deferred = nil
	for _, w := range deferred {
		if c.now > w.until {
			c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "another configuration was not settled in time; ask again"})
			continue
		}
		c.operate(w)
	}
}

// passOn sends an operator's request to the leader, if one is known.
func (c *Machine) passOn(w *pendingRequest) {
	w.sentAt = c.now
	w.hasWay = c.leader != "" && c.leader != c.self.Address && c.now-c.leaderAt <= constants.NodeLostAfter
	if w.hasWay {
		if !slices.Contains(w.asked, c.leader) {
			w.asked = append(w.asked, c.leader)
		}
		c.send(c.leader, &schema.Frame{Call: w.ticket, Body: &schema.Frame_OperatorRequest{OperatorRequest: w.request}})
	}
}

// takeResponse takes another node's answer to an order that was passed on. Only an answer to an order of this life, from a node that it was
// passed on to, is given to whoever waits for it.
func (c *Machine) takeResponse(f *schema.Frame, response *schema.OperatorResponse) {
	at := slices.IndexFunc(c.operations, func(w *pendingRequest) bool {
		return w.isSent && w.ticket == f.Call && slices.Contains(w.asked, f.Address)
	})
	if at < 0 {
		c.staleResponses++
		return
	}
	w := c.operations[at]
	if c.mayAskAgain(w, response) {
		return
	}
	c.operations = slices.Delete(c.operations, at, at+1)
	c.effects.Responses = append(c.effects.Responses, LocalResponse{w.ticket, response})
}

// mayAskAgain tells that an answer only says that another node must be asked, and there is time to: operators wait longer after each failure.
func (c *Machine) mayAskAgain(w *pendingRequest, response *schema.OperatorResponse) bool {
	if c.routed == nil || response.Refusal != schema.RefusalKind_REFUSAL_NO_LEADER || c.now >= w.bornAt+constants.OperatorPatience {
		return false
	}
	w.hasWay = false
	w.sentAt = c.now - constants.PassOnWait + constants.PassOnPause
	return true
}

// askAgain passes on what found no leader or no answer; the leader takes a request that comes twice as one.
func (c *Machine) askAgain() {
	if c.routed == nil {
		return
	}
	for _, w := range slices.Clone(c.operations) {
		if !w.isSent || c.now-w.sentAt < constants.PassOnWait {
			continue
		}
		isOver := c.now >= w.bornAt+constants.OperatorPatience
		switch {
		case c.IsLeading():
			c.operations = slices.DeleteFunc(c.operations, func(other *pendingRequest) bool { return other == w })
			w.isSent = false
			c.operate(w)
		case !isOver:
			c.passOn(w)
		case !w.hasWay:
			c.operations = slices.DeleteFunc(c.operations, func(other *pendingRequest) bool { return other == w })
			c.reply(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_NO_LEADER, Message: "no leader is known; ask again shortly, and run doctor if it lasts"})
		}
	}
}
