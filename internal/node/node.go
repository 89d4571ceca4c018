// Package node joins the parts of one process: it feeds the machines, performs their effects and serves HTTP.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/directory"
	"topazshed/internal/discovery"
	"topazshed/internal/frame"
	"topazshed/internal/gateway"
	"topazshed/internal/idempotency"
	"topazshed/internal/inflight"
	"topazshed/internal/journal"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
	"topazshed/internal/settings"
	"topazshed/internal/store"
	"topazshed/internal/supervisor"
)

// Node is one running process.
type Node struct {
	*supervisor.Supervisor
	settings *settings.Settings
	log      *slog.Logger
	open     func(path string) (Folder, error)
	begun    time.Time
	self     *schema.Node
	core     *controlplane.Machine
	commands chan func()
	local    atomic.Pointer[controlplane.Local]
	replica  *idempotency.Replica
	net      *frame.Net
	journal  *journal.Journal
	calls    sync.Map
	// serial numbers questions; each life of the process begins elsewhere, so that an answer to a former life's is known as such.
	serial         atomic.Uint64
	staleResponses atomic.Uint64
	operates       sync.Map
	loads          *proxy.Loads
	kept           *proxy.Kept
	pool           *proxy.Pool
	executor       *proxy.Executor
	disk           atomic.Pointer[adminapi.Disk]
	context        context.Context
	cancel         context.CancelFunc
	tasks          sync.WaitGroup
	stopping       atomic.Bool
	servers        []*http.Server
	callers        *gateway.Callers
	fatal          chan error
	platform       *Platform
	gateway        *gateway.Gateway
	refused        map[string]time.Duration
}

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

func newID() string {
	var text [6]byte
	rand.Read(text[:])
	return hex.EncodeToString(text[:])
}

// Folder is a data folder: journal.OpenFolder gives the real one.
type Folder interface {
	journal.Disk
	Wipe() error
	Close() error
}

// OpenFolder opens the data folder on the real disk.
func OpenFolder(path string) (Folder, error) { return journal.OpenFolder(path) }

// Start brings a process up that speaks the product's own interface; open gives its data folder.
func Start(s *settings.Settings, log *slog.Logger, open func(path string) (Folder, error)) (*Node, error) {
	if s.Routes != nil {
		return StartRouted(s, log, open, NativePlatform(s))
	}
	return StartRouted(s, log, open, nil)
}

// StartRouted brings up a process of a fleet that carries routes and speaks as the seam says; without a seam it carries entries.
func StartRouted(s *settings.Settings, log *slog.Logger, open func(path string) (Folder, error), platform *Platform) (*Node, error) {
	n := &Node{platform: platform, refused: map[string]time.Duration{}, Supervisor: supervisor.New(), settings: s, log: log, open: open, begun: time.Now(), commands: make(chan func(), 4096), fatal: make(chan error, 1)}
	n.context, n.cancel = context.WithCancel(context.Background())
	n.local.Store(&controlplane.Local{View: store.NewView()})
	n.disk.Store(&adminapi.Disk{Folder: s.Data})
	n.serial.Store(uint64(draw(inflight.FirstSerialLimit)))
	if err := n.start(); err != nil {
		n.cancel()
		return nil, errors.Join(err, n.Close())
	}
	return n, nil
}

// Now is the process's own monotonic clock; it starts an hour in so that no zero time is recent.
func (n *Node) Now() time.Duration { return time.Since(n.begun) + time.Hour }

func (n *Node) start() error {
	n.self = &schema.Node{Id: newID(), Address: n.settings.PeerShown, Proxy: n.settings.ProxyShow, Admin: n.settings.AdminShown, Zone: n.settings.Zone,
		Region: n.settings.Region, Disk: n.settings.Data != "", Incarnation: uint64(time.Now().UnixMilli()), State: schema.NodeState_NODE_READY}
	options := controlplane.Options{Self: n.self, Seeds: n.settings.Seeds, Draw: draw, Log: n.log.With("part", "core"), Rejoin: n.settings.Rejoin, Epoch: n.begun.Add(-time.Hour)}
	if n.platform != nil {
		options.Routed = n.routed()
	}
	if n.self.Disk {
		state, err := n.openJournal()
		if err != nil {
			return err
		}
		options.Hard, options.Snapshot, options.Items = state.Hard, state.Snapshot, state.Items
		options.System, options.Restart = state.Hard.System, state.Hard.Id != ""
		if options.Restart {
			n.self.Id = state.Hard.Id
		}
	}
	n.log = n.log.With("node", n.self.Id)
	n.core = controlplane.New(n.Now(), options)
	if err := n.core.Refused(); err != nil {
		return err
	}
	if n.platform != nil {
		return n.startRouted()
	}
	n.replica = idempotency.NewReplica(n.self.Id, options.Restart)
	n.pool = proxy.NewPool(n.settings.Proxy)
	n.Push("pool", n.pool.Close)
	n.loads = proxy.NewLoads(n.Now)
	n.kept = proxy.NewKept()
	n.executor = proxy.NewExecutor(proxy.Options{Self: n.self, Now: n.Now, Local: n.local.Load, Want: n.want, Call: n.Call, Draw: draw, Pool: n.pool, Loads: n.loads, Kept: n.kept, Log: n.log.With("part", "proxy")})
	finder := directory.New(directory.Options{Self: n.self, Now: n.Now, Local: n.local.Load, Want: n.want, Draw: draw})
	admin := adminapi.New(adminapi.Options{Self: n.self, Now: n.Now, Local: n.local.Load, Operate: n.operate, Stats: n.executor.Stats, Replica: n.replica.State,
		Disk: func() adminapi.Disk { return *n.disk.Load() }, Match: finder})
	for name, service := range map[string]any{"core": n.core, "keeper": n.replica, "pool": n.pool, "loads": n.loads, "executor": n.executor, "directory": finder,
		"door": admin, "proxy": n.proxyHandler()} {
		if err := n.Register(name, service); err != nil {
			return err
		}
	}
	if err := n.openNetwork(); err != nil {
		return err
	}
	for name, address := range map[string]string{"proxy": n.settings.Proxy, "door": n.settings.Admin} {
		handler, err := supervisor.Find[http.Handler](n.Supervisor, name)
		if err != nil {
			return err
		}
		if err := n.serve(name, address, handler); err != nil {
			return err
		}
	}
	n.tasks.Go(n.probe)
	if n.settings.Platform != "" {
		n.tasks.Go(n.watchList)
	}
	n.tasks.Go(n.keep)
	n.log.Info("started", "peer", n.settings.Peer, "proxy", n.settings.Proxy, "door", n.settings.Admin, "district", n.settings.Zone, "region", n.settings.Region, "disk", n.self.Disk, "restart", options.Restart)
	return nil
}

func (n *Node) openNetwork() error {
	network, err := frame.Open(frame.Options{Listen: n.settings.Peer, Handle: n.handle, Log: n.log.With("part", "frame")})
	if err != nil {
		return err
	}
	n.net = network
	n.tasks.Go(n.own)
	n.Push("owner", func() error {
		n.cancel()
		err := network.Close()
		n.tasks.Wait()
		return err
	})
	return nil
}

func (n *Node) openJournal() (*journal.State, error) {
	folder, err := n.open(n.settings.Data)
	if err != nil {
		return nil, err
	}
	n.Push("data folder", folder.Close)
	sizes := journal.Sized(n.settings.DiskBytes)
	j, state, err := journal.Open(folder, sizes)
	var corrupt *journal.CorruptError
	if errors.As(err, &corrupt) {
		n.log.Error("journal is corrupt; rejoining empty under a new identity", "reason", err.Error())
		if err := folder.Wipe(); err != nil {
			return nil, fmt.Errorf("wipe data folder: %w", err)
		}
		j, state, err = journal.Open(folder, sizes)
	}
	if err != nil {
		return nil, err
	}
	if state.Torn {
		n.log.Warn("a torn tail of the journal was cut")
	}
	n.journal = j
	return state, nil
}

func (n *Node) serve(name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s for %s: %w; free the address or change the setting", address, name, err)
	}
	head, idle := constants.CallerHead, constants.CallerIdle
	if n.gateway != nil && handler == http.Handler(n.gateway) {
		n.callers = gateway.NewCallers(listener, func() *schema.Limits { return n.local.Load().View.Limits })
		listener, head, idle = n.callers, constants.CallerHeadMark, constants.CallerIdleMark
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: head, IdleTimeout: idle, MaxHeaderBytes: 64 << 10,
		ErrorLog: slog.NewLogLogger(n.log.With("part", name).Handler(), slog.LevelDebug)}
	n.servers = append(n.servers, server)
	n.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("server ended", "part", name, "reason", err.Error())
		}
	})
	n.Push(name, server.Close)
	return nil
}

func (n *Node) proxyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /identity", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(proxy.Identity{Service: "topazshed", Instance: n.self.Id})
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		local := n.local.Load()
		if n.stopping.Load() || !proxy.IsFit(n.Now(), local) {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && (r.URL.Path == "/identity" || r.URL.Path == "/ready") {
			mux.ServeHTTP(w, r)
			return
		}
		n.executor.ServeHTTP(w, r)
	})
}

func (n *Node) do(command func()) {
	select {
	case n.commands <- command:
	case <-n.context.Done():
	}
}

// SetSeeds takes the seeds of changed settings.
func (n *Node) SetSeeds(seeds []string) {
	n.do(func() { n.core.SetSeeds(n.Now(), seeds) })
}

func (n *Node) want(service string) {
	n.do(func() { n.core.Want(n.Now(), service) })
}

func (n *Node) own() {
	pace := constants.Tick
	if n.platform != nil {
		pace = constants.RoutedTick
	}
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	driver := n.driver()
	for {
		select {
		case <-n.context.Done():
			return
		case command := <-n.commands:
			command()
		case <-ticker.C:
			n.core.Tick(n.Now())
		}
		for more := true; more; {
			select {
			case command := <-n.commands:
				command()
			default:
				more = false
			}
		}
		if err := driver.Perform(); err != nil {
			reason := "the disk failed; this process ends so that it can't say yes to what it hasn't kept"
			if n.core.Refused() != nil {
				reason = "this process ends because it can't speak with its fleet"
			}
			n.log.Error(reason, "reason", err.Error())
			select {
			case n.fatal <- err:
			default:
			}
			n.cancel()
			return
		}
	}
}

func (n *Node) driver() *controlplane.Driver {
	return &controlplane.Driver{Core: n.core, Journal: n.journal, Now: n.Now, Send: n.net.Send, Publish: n.publish, Synced: n.synced, Write: n.write, Leased: n.sendLeaseCall, Answer: func(o controlplane.LocalResponse) {
		if answer, isThere := n.operates.LoadAndDelete(o.Ticket); isThere {
			answer.(chan *schema.OperatorResponse) <- o.Response
		}
	}}
}

func (n *Node) write(work func() error, done func(error)) {
	n.tasks.Go(func() {
		err := work()
		n.do(func() { done(err) })
	})
}

func (n *Node) synced(took time.Duration, err error) {
	disk := *n.disk.Load()
	disk.LastSyncMs, disk.WorstMs = took.Milliseconds(), max(disk.WorstMs, took.Milliseconds())
	if err != nil {
		disk.Fault = err.Error()
	}
	n.disk.Store(&disk)
	if took > constants.SlowSync {
		n.log.Warn("slow sync", "milliseconds", took.Milliseconds())
		n.core.SlowDisk(n.Now())
	}
}

func (n *Node) publish() {
	local := n.core.Local()
	local.StaleResponses += n.staleResponses.Load()
	was := n.local.Load()
	n.local.Store(local)
	if n.platform != nil {
		return
	}
	if was.View != local.View {
		for name, service := range local.View.Services {
			if was.View.Services[name] == service {
				continue
			}
			for _, b := range service.Backends {
				if b.State != schema.BackendState_BACKEND_READY {
					n.pool.Forget(proxy.Identity{Service: b.Service, Instance: b.Instance})
				}
			}
		}
	}
	if set := local.View.ReplicaSets[n.self.Region]; set != nil {
		n.replica.Adopt(n.Now(), set)
	}
	number, isMember, isReady, _ := n.replica.State()
	n.core.SetReservationReplica(number, isMember && isReady)
	n.core.SetOldestIndex(n.loads.Floor())
}

// call is a question to another node that waits for its answer.
type call struct {
	to     string
	answer chan *schema.Frame
}

// takeAnswer gives an answer to the call that waits for it; one to a call of a former life, or from another node than the one asked, belongs to nobody.
func (n *Node) takeAnswer(f *schema.Frame) {
	waiting, isThere := n.calls.Load(f.Call)
	if !isThere || waiting.(*call).to != f.Address || !n.calls.CompareAndDelete(f.Call, waiting) {
		n.staleResponses.Add(1)
		return
	}
	waiting.(*call).answer <- f
}

func (n *Node) handle(f *schema.Frame) {
	if f.Response {
		n.takeAnswer(f)
		return
	}
	local := n.local.Load()
	if n.platform != nil {
		if f.Body != nil {
			n.do(func() { n.core.Receive(n.Now(), f) })
		}
		return
	}
	switch body := f.Body.(type) {
	case *schema.Frame_ReservationRequest:
		if local.System != "" && f.System == local.System {
			now := n.Now()
			n.answer(f, &schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: n.replica.Take(now, body.ReservationRequest, now < local.LeaseUntil)}})
		}
	case *schema.Frame_ReservationCopyRequest:
		if f.System == local.System {
			n.answer(f, &schema.Frame{Body: &schema.Frame_ReservationCopyResponse{ReservationCopyResponse: n.replica.Copy(n.Now(), body.ReservationCopyRequest)}})
		}
	case *schema.Frame_ReplayRequest:
		if f.System == local.System {
			n.answer(f, &schema.Frame{Body: &schema.Frame_ReplayResponse{ReplayResponse: n.kept.Replay(body.ReplayRequest)}})
		}
	case nil:
		n.log.Warn("frame without body ignored", "from", f.From)
	default:
		n.do(func() { n.core.Receive(n.Now(), f) })
	}
}

func (n *Node) answer(to *schema.Frame, f *schema.Frame) {
	f.Call, f.Response, f.System, f.From, f.Address = to.Call, true, n.local.Load().System, n.self.Id, n.self.Address
	n.net.Send(to.Address, f)
}

// Call sends a frame and waits for its response; a call to this node itself is answered at once.
func (n *Node) Call(ctx context.Context, address string, f *schema.Frame) (*schema.Frame, error) {
	waiting := &call{address, make(chan *schema.Frame, 1)}
	f.Call = n.serial.Add(1)
	f.System, f.From, f.Address = n.local.Load().System, n.self.Id, n.self.Address
	n.calls.Store(f.Call, waiting)
	defer n.calls.Delete(f.Call)
	if address == n.self.Address {
		local := n.local.Load()
		switch body := f.Body.(type) {
		case *schema.Frame_ReservationRequest:
			now := n.Now()
			return &schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: n.replica.Take(now, body.ReservationRequest, now < local.LeaseUntil)}}, nil
		}
	}
	n.net.Send(address, f)
	select {
	case response := <-waiting.answer:
		return response, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("call to %s: %w", address, ctx.Err())
	}
}

func (n *Node) operate(ctx context.Context, request *schema.OperatorRequest) (*schema.OperatorResponse, error) {
	answer := make(chan *schema.OperatorResponse, 1)
	ticket := n.serial.Add(1)
	n.operates.Store(ticket, answer)
	defer n.operates.Delete(ticket)
	n.do(func() { n.core.Operate(n.Now(), ticket, proto.Clone(request).(*schema.OperatorRequest)) })
	select {
	case response := <-answer:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) keep() {
	ticker := time.NewTicker(constants.ReservationCopyEvery / 4)
	defer ticker.Stop()
	for {
		select {
		case <-n.context.Done():
			return
		case <-ticker.C:
		}
		for _, asking := range n.replica.Ask(n.Now()) {
			n.tasks.Go(func() {
				ctx, cancel := context.WithTimeout(n.context, constants.ReservationWait)
				defer cancel()
				f, err := n.Call(ctx, asking.Member.Address, &schema.Frame{Body: &schema.Frame_ReservationCopyRequest{ReservationCopyRequest: asking.Message}})
				if err == nil && f.GetReservationCopyResponse() != nil {
					n.replica.Copied(n.Now(), asking.Member.Id, f.GetReservationCopyResponse())
				}
			})
		}
	}
}

func (n *Node) probe() {
	ticker := time.NewTicker(constants.HealthCheckEvery)
	defer ticker.Stop()
	var lock sync.Mutex
	fails := map[string]int{}
	for {
		select {
		case <-n.context.Done():
			return
		case <-ticker.C:
		}
		view := n.local.Load().View
		var group sync.WaitGroup
		listed := map[string]bool{}
		for _, service := range view.Services {
			if len(service.Entries) == 0 {
				continue
			}
			for _, b := range service.Backends {
				zone := view.Zones[b.Zone]
				if zone == nil || zone.Region != n.self.Region {
					continue
				}
				listed[b.Instance] = true
				group.Go(func() {
					ctx, cancel := context.WithTimeout(n.context, constants.HealthCheckTimeout)
					defer cancel()
					conn, err := n.pool.Get(ctx, b.Address, proxy.Identity{Service: b.Service, Instance: b.Instance})
					if err == nil {
						err = conn.Prove(ctx)
						if err == nil {
							n.pool.Put(conn)
						} else {
							conn.Close()
						}
					}
					lock.Lock()
					defer lock.Unlock()
					if err != nil {
						fails[b.Instance]++
					} else {
						fails[b.Instance] = 0
					}
					n.loads.Report(b.Instance, err)
				})
			}
		}
		group.Wait()
		lock.Lock()
		var healthReports []*schema.HealthReport
		for instance, count := range fails {
			if !listed[instance] {
				delete(fails, instance)
				continue
			}
			healthReports = append(healthReports, &schema.HealthReport{Instance: instance, Failing: count >= constants.HealthCheckFailures})
		}
		lock.Unlock()
		slices.SortFunc(healthReports, func(a, b *schema.HealthReport) int { return strings.Compare(a.Instance, b.Instance) })
		n.do(func() { n.core.SetHealthReports(healthReports) })
	}
}

func (n *Node) watchList() {
	client := &http.Client{Timeout: constants.ListCallTimeout}
	pause := constants.ListReadEvery
	for {
		select {
		case <-n.context.Done():
			return
		case <-time.After(pause):
		}
		pause = constants.ListReadEvery
		if n.local.Load().Role != "leader" {
			continue
		}
		var pages []discovery.Page
		fault := ""
		for page := 0; ; page++ {
			got, retry, err := n.readPage(client, page)
			if err != nil {
				fault = err.Error()
				pause = max(pause, retry)
				break
			}
			pages = append(pages, got)
			if page+1 >= got.Pages {
				break
			}
		}
		sweep := discovery.Join(pages)
		if fault != "" {
			sweep.IsWhole, sweep.Reason = false, fault
		}
		n.do(func() { n.core.SetListRead(n.Now(), sweep) })
	}
}

func (n *Node) readPage(client *http.Client, number int) (discovery.Page, time.Duration, error) {
	var page discovery.Page
	retry, err := fetchPage(n.context, client, n.settings.Platform, number, &page)
	if err == nil && page.Page != number {
		err = fmt.Errorf("the platform gave page %d for page %d", page.Page, number)
	}
	return page, retry, err
}

func fetchPage(ctx context.Context, client *http.Client, list string, number int, page any) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?page=%d", list, number), nil)
	if err != nil {
		return 0, fmt.Errorf("read the platform's list: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("read the platform's list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var retry time.Duration
		if seconds, err := time.ParseDuration(response.Header.Get("Retry-After") + "s"); err == nil {
			retry = min(seconds, 5*time.Second)
		}
		return retry, fmt.Errorf("read the platform's list: status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	if err != nil {
		return 0, fmt.Errorf("read the platform's list: %w", err)
	}
	if err := json.Unmarshal(text, page); err != nil {
		return 0, fmt.Errorf("the platform's list is no JSON: %w", err)
	}
	return 0, nil
}

// Wait blocks until the context ends or the disk fails, then stops the process without dropping a request.
func (n *Node) Wait(ctx context.Context) error {
	select {
	case err := <-n.fatal:
		return errors.Join(err, n.Close())
	case <-ctx.Done():
	}
	n.stopping.Store(true)
	if n.platform != nil {
		return n.stopRouted()
	}
	n.log.Info("stopping; queries in flight are finished first")
	n.do(func() { n.core.Stop(n.Now()) })
	linger := time.NewTimer(constants.StopLinger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case err := <-n.fatal:
		return errors.Join(err, n.Close())
	}
	shutCtx, cancel := context.WithTimeout(context.Background(), constants.StopMost-constants.StopLinger)
	defer cancel()
	for _, server := range n.servers {
		if err := server.Shutdown(shutCtx); err != nil {
			n.log.Warn("queries were still in flight at the end", "reason", err.Error())
		}
	}
	err := n.Close()
	n.log.Info("stopped")
	return err
}
