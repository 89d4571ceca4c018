package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"math/big"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/documents"
	"topazshed/internal/journal"
	"topazshed/internal/leader"
	"topazshed/internal/responses"
	"topazshed/internal/schema"
	"topazshed/internal/settings"
	"topazshed/internal/store"
)

// commandQueue is how many closures may wait for the owner before Node.do blocks.
const commandQueue = 4096

// clockStart is what the process's clock shows at its start, so that the zero time is never recent.
const clockStart = time.Hour

// Options say how a process is made. Settings, Log and OpenFolder are needed.
type Options struct {
	Settings *settings.Settings
	Log      *slog.Logger
	// OpenFolder opens the data folder of a machine with a disk; OpenFolder (the function) opens a real one.
	OpenFolder func(path string) (Folder, error)
	// Platform makes this a process of a fleet of routes that speaks the platform's way. Where it is nil, the settings
	// decide: with Settings.Routes the process carries routes and speaks the product's own interface, else it carries
	// entries.
	Platform *Platform
}

// Node is one running process. All its methods may be called by any goroutine.
type Node struct {
	settings *settings.Settings
	log      *slog.Logger
	begun    time.Time
	self     *schema.Node
	service  service

	// machine and its driver belong to the owner's goroutine once that runs.
	machine  *controlplane.Machine
	journal  *journal.Journal
	commands chan func()
	// local is the newest state that the owner published.
	local atomic.Pointer[controlplane.Local]
	disk  atomic.Pointer[adminapi.Disk]

	documents *documents.Budget
	// responses counts what back ends and the platform send beyond bounds.
	responses        *responses.Tally
	transport        *transport
	operatorRequests sync.Map // ticket (operations.Ticket) -> chan *schema.OperatorResponse
	servers          []*http.Server

	// ctx ends with the process; every task is given it and is counted by tasks.
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	cleanup  cleanupStack
	stopping atomic.Bool
	// fatal gets the first error after which the process must end.
	fatal chan error
}

// service is what a node does for callers; a node has one for as long as it runs.
type service interface {
	// routed gives the control machine's options of a fleet of routes, nil in a fleet of entries.
	routed() *controlplane.RouteOptions
	// tickEvery is how often the control machine looks at the clock.
	tickEvery() time.Duration
	// start begins to serve: the control machine is made, nothing listens yet. The end of ctx ends its waits.
	start(ctx context.Context, isRestart bool) error
	// published tells that current replaced previous; the owner calls it.
	published(previous, current *controlplane.Local)
	// respond answers a peer's request that is not meant for the control machine, and reports whether it did.
	respond(request *schema.Frame) bool
	// drain refuses new requests, waits for those in flight and returns early with the error that ended the process.
	drain() error
	// grantLease begins a call to a back end about a shard lease; the owner calls it.
	grantLease(call leader.LeaseCall)
}

// Start brings a process up; until it is up, the end of ctx ends it with the context's error. Whoever gets a node calls Wait, which also
// ends it.
func Start(ctx context.Context, options Options) (*Node, error) {
	n := &Node{
		settings: options.Settings,
		log:      options.Log,
		begun:    time.Now(),
		commands: make(chan func(), commandQueue),
		fatal:    make(chan error, 1),
	}
	n.responses = responses.NewTally(n.log)
	n.documents = documents.NewBudget(constants.DocumentBudget, constants.DocumentWait)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.local.Store(&controlplane.Local{View: store.NewView()})
	n.disk.Store(&adminapi.Disk{Folder: n.settings.Data})
	n.transport = newTransport(n)
	n.service = newService(n, options.Platform)
	if err := n.start(ctx, options); err != nil {
		n.cancel()
		return nil, errors.Join(err, n.Close())
	}
	return n, nil
}

func newService(n *Node, platform *Platform) service {
	if platform == nil && n.settings.Routes != nil {
		platform = NativePlatform(n.settings)
	}
	if platform == nil {
		return &entryService{node: n}
	}
	return newRouteService(n, platform)
}

// Now is the process's own monotonic clock. It starts at an hour, so that no zero time is recent.
func (n *Node) Now() time.Duration { return time.Since(n.begun) + clockStart }

func (n *Node) start(ctx context.Context, given Options) error {
	n.self = newSelf(n.settings)
	options := controlplane.Options{
		Self:            n.self,
		Seeds:           n.settings.Seeds,
		Draw:            draw,
		Log:             n.log.With("part", "control"),
		Rejoin:          n.settings.Rejoin,
		Epoch:           n.begun.Add(-clockStart),
		Routes:          n.service.routed(),
		TellsFirstStart: given.Platform != nil && given.Platform.TellsFirstStart,
	}
	if n.self.Disk {
		if err := n.openDisk(ctx, given.OpenFolder, &options); err != nil {
			return err
		}
	}
	n.log = n.log.With("node", n.self.Id)
	n.machine = controlplane.New(n.Now(), options)
	if err := n.machine.Refused(); err != nil {
		return err
	}
	if err := n.service.start(ctx, options.Restart); err != nil {
		return err
	}
	n.log.Info("started", "peer", n.settings.Peer, "proxy", n.settings.Proxy, "admin", n.settings.Admin, "zone", n.settings.Zone,
		"region", n.settings.Region, "disk", n.self.Disk, "restart", options.Restart)
	return nil
}

func newSelf(s *settings.Settings) *schema.Node {
	return &schema.Node{
		Id:          newID(),
		Address:     s.PeerShown,
		Proxy:       s.ProxyShown,
		Admin:       s.AdminShown,
		Zone:        s.Zone,
		Region:      s.Region,
		Disk:        s.Data != "",
		Incarnation: uint64(time.Now().UnixMilli()),
		State:       schema.NodeState_NODE_READY,
	}
}

// Close ends every task and listener at once, without waiting for requests in flight. A second call does nothing.
func (n *Node) Close() error { return n.cleanup.close() }

// draw gives a number from 0 up to and without n, and 0 where n is not positive.
func draw(n int64) int64 {
	if n <= 0 {
		return 0
	}
	value, err := rand.Int(rand.Reader, big.NewInt(n))
	if err != nil {
		panic(fmt.Sprintf("random source: %v", err))
	}
	return value.Int64()
}

// newID draws the identity of a node: 48 bits in hexadecimal digits.
func newID() string {
	var text [6]byte
	rand.Read(text[:])
	return hex.EncodeToString(text[:])
}
