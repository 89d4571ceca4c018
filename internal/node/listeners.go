package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/sockets"
)

// ListenError says that an address could not be listened on.
type ListenError struct {
	// Address is what was asked for, Part what it is for.
	Address, Part string
	// Cause is the network's error.
	Cause error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s for %s: %v; free the address or change the setting", e.Address, e.Part, e.Cause)
}

// Unwrap gives the network's error.
func (e *ListenError) Unwrap() error { return e.Cause }

// listen opens a TCP listener for a part of the process. It waits while a former process of the machine has the address.
func (n *Node) listen(ctx context.Context, part, address string) (net.Listener, error) {
	var listener net.Listener
	err := n.retryStart(ctx, part, func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	})
	if err != nil {
		return nil, &ListenError{Address: address, Part: part, Cause: err}
	}
	return listener, nil
}

// serverTimeouts bound how long callers may take.
type serverTimeouts struct {
	// header bounds reading a request's header, idle the wait for a connection's next request.
	header, idle time.Duration
}

var defaultTimeouts = serverTimeouts{header: constants.CallerHead, idle: constants.CallerIdle}

// serve answers requests on a listener until the node closes.
func (n *Node) serve(part string, listener net.Listener, handler http.Handler, timeouts serverTimeouts) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: timeouts.header,
		IdleTimeout:       timeouts.idle,
		MaxHeaderBytes:    constants.RequestHead,
		ConnContext:       sockets.WithConn,
		ErrorLog:          slog.NewLogLogger(n.log.With("part", part).Handler(), slog.LevelDebug),
	}
	n.servers = append(n.servers, server)
	n.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("server ended", "part", part, "reason", err.Error())
		}
	})
	n.cleanup.push(part, server.Close)
}
