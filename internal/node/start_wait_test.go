package node_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"topazshed/internal/journal"
	"topazshed/internal/node"
	"topazshed/internal/settings"
)

const (
	// formerEndsAfter is how long a former process still holds what a new one needs.
	formerEndsAfter = 300 * time.Millisecond
	// startBound is how soon after that the new one must be up.
	startBound = 5 * time.Second
)

// startSettings are those of one machine of a fleet of routes with a disk, at free ports.
func startSettings(t *testing.T) *settings.Settings {
	t.Helper()
	s := &settings.Settings{Zone: "z", Region: "r", Data: t.TempDir(), Seeds: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}, Routes: &settings.Routes{}}
	for _, address := range []*string{&s.Peer, &s.Proxy, &s.Admin} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		*address = listener.Addr().String()
		t.Cleanup(func() { listener.Close() })
		defer listener.Close()
	}
	s.PeerShown, s.ProxyShown, s.AdminShown = s.Peer, s.Proxy, s.Admin
	return s
}

func startNode(ctx context.Context, s *settings.Settings, log *slog.Logger) error {
	n, err := node.Start(ctx, node.Options{Settings: s, Log: log, OpenFolder: node.OpenFolder})
	if err != nil {
		return err
	}
	return n.Close()
}

// Guards against a start that gives up on what a former process of the machine still holds (FAULT, issue 42).
func TestAStartWaitsForWhatAFormerProcessHolds(t *testing.T) {
	for _, c := range []struct {
		name string
		hold func(s *settings.Settings) (release func() error, err error)
	}{
		{"the data folder", func(s *settings.Settings) (func() error, error) {
			folder, err := journal.OpenFolder(s.Data)
			return folder.Close, err
		}},
		{"the address for peers", func(s *settings.Settings) (func() error, error) { return holdAddress(s.Peer) }},
		{"the proxy's address", func(s *settings.Settings) (func() error, error) { return holdAddress(s.Proxy) }},
		{"the admin address", func(s *settings.Settings) (func() error, error) { return holdAddress(s.Admin) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSettings(t)
			release, err := c.hold(s)
			if err != nil {
				t.Fatal(err)
			}
			log := &waitingLog{waits: make(chan struct{})}
			released := make(chan time.Time, 1)
			go func() {
				// The steps before this one take as long as the disk does.
				select {
				case <-log.waits:
				case <-time.After(startBound):
				}
				time.Sleep(formerEndsAfter)
				released <- time.Now()
				release()
			}()
			err = startNode(context.Background(), s, slog.New(slog.NewTextHandler(log, nil)))
			ended := time.Now()
			if took := ended.Sub(<-released); err != nil || took < 0 || took > startBound {
				t.Errorf("%v after the former process ended: %v", took, err)
			}
			if !strings.Contains(log.String(), "the start waits") || !strings.Contains(log.String(), "the start goes on") {
				t.Errorf("the log does not tell of the wait: %s", log.String())
			}
		})
	}
}

// waitingLog keeps a log, and tells as soon as it says that a start waits.
type waitingLog struct {
	lock  sync.Mutex
	text  strings.Builder
	waits chan struct{}
	tells sync.Once
}

func (l *waitingLog) Write(line []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if bytes.Contains(line, []byte("the start waits")) {
		l.tells.Do(func() { close(l.waits) })
	}
	return l.text.Write(line)
}

func (l *waitingLog) String() string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.text.String()
}

func holdAddress(address string) (release func() error, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.Close, nil
}

func TestAStartThatWaitsEndsWhenItIsToldToStop(t *testing.T) {
	s := startSettings(t)
	folder, err := journal.OpenFolder(s.Data)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	ctx, cancel := context.WithTimeout(context.Background(), formerEndsAfter)
	defer cancel()
	if err := startNode(ctx, s, slog.New(slog.DiscardHandler)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the start ended with %v", err)
	}
}

func TestAStartEndsAtOnceOnAnAddressOfAnotherMachine(t *testing.T) {
	s := startSettings(t)
	s.Admin = "192.0.2.1:7003"
	begun := time.Now()
	err := startNode(context.Background(), s, slog.New(slog.DiscardHandler))
	var failed *node.ListenError
	if !errors.As(err, &failed) || failed.Address != s.Admin || time.Since(begun) > startBound {
		t.Errorf("the start ended with %v", fmt.Sprint(err))
	}
}
