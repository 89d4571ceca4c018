package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"reflect"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/adminapi"
	"topazshed/internal/node"
	"topazshed/internal/settings"
)

type serveCommand struct {
	read func() (*settings.Settings, error)
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run this machine's process" }
func (*serveCommand) Usage() string {
	return "serve -settings FILE | serve -peer IP:PORT -proxy IP:PORT -door IP:PORT -district NAME -region NAME -seeds A,B,C [-data FOLDER -platform URL]\n"
}
func (c *serveCommand) SetFlags(flags *flag.FlagSet) { c.read = settings.Flags(flags) }

func (c *serveCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "serve takes no arguments, only flags: %q\n", flags.Args())
		return subcommands.ExitUsageError
	}
	s, err := c.read()
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		for _, fault := range faults.Faults {
			fmt.Fprintf(os.Stderr, "setting %s %s\n", fault.Field, fault.Message)
		}
		return subcommands.ExitUsageError
	}
	level := &slog.LevelVar{}
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() {
		for {
			select {
			case <-hangups:
				fresh, err := c.read()
				reload(s, fresh, err, level, log)
			case <-ctx.Done():
				return
			}
		}
	}()
	n, err := node.Start(node.Options{Settings: s, Log: log, OpenFolder: node.OpenFolder})
	if err != nil {
		log.Error("did not start", "reason", err.Error())
		return subcommands.ExitFailure
	}
	if err := n.Wait(ctx); err != nil {
		log.Error("ended with a fault", "reason", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func reload(running, fresh *settings.Settings, err error, level *slog.LevelVar, log *slog.Logger) {
	if err != nil {
		log.Error("settings were not reloaded; mend every fault and send the signal again", "faults", err.Error())
		return
	}
	kept := *fresh
	kept.LogLevel = running.LogLevel
	if !reflect.DeepEqual(&kept, running) {
		log.Warn("only the log level is taken on reload; stop and start the process for the rest")
	}
	if err := level.UnmarshalText([]byte(fresh.LogLevel)); err != nil {
		log.Error("settings were not reloaded", "faults", err.Error())
		return
	}
	log.Info("settings reloaded", "log_level", fresh.LogLevel)
}

type adminFlag struct{ admin string }

func (d *adminFlag) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&d.admin, "door", "127.0.0.1:7003", "IP:port of any node's door")
}

func (d *adminFlag) call(method, path string, query url.Values, header http.Header, body []byte) (int, http.Header, []byte, error) {
	address := url.URL{Scheme: "http", Host: d.admin, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequest(method, address.String(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	client := http.Client{Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%w; is a node's door at %s?", err, d.admin)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, text, err
}

func report(status int, text []byte, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if status == http.StatusOK {
		return subcommands.ExitSuccess
	}
	var reply adminapi.Reply
	if json.Unmarshal(text, &reply) == nil && reply.Kind != "" {
		fmt.Fprintf(os.Stderr, "declined (%s): %s\n", reply.Kind, reply.Message)
		for _, fault := range reply.Faults {
			fmt.Fprintf(os.Stderr, "  %s: %s\n", fault.Path, fault.Message)
		}
	} else {
		fmt.Fprintf(os.Stderr, "status %d: %s\n", status, text)
	}
	return subcommands.ExitFailure
}

func unconfirmedText(zones []string) string {
	if len(zones) == 0 {
		return ""
	}
	return fmt.Sprintf("not confirmed yet by every proxy of %s: those out of the core's reach go on as before; see status until they have", strings.Join(zones, ", "))
}

func tellUnconfirmed(zones []string) {
	if text := unconfirmedText(zones); text != "" {
		fmt.Println(text)
	}
}

type putCommand struct {
	adminFlag
	base int64
	key  string
}

func (*putCommand) Name() string     { return "put" }
func (*putCommand) Synopsis() string { return "put a whole configuration" }
func (*putCommand) Usage() string    { return "put [-door IP:PORT] [-base N] [-key TEXT] FILE\n" }
func (c *putCommand) SetFlags(flags *flag.FlagSet) {
	c.adminFlag.SetFlags(flags)
	flags.Int64Var(&c.base, "base", -1, "version the file was based on (default: the newest)")
	flags.StringVar(&c.key, "key", "", "operator key that makes repeated puts one")
}

func (c *putCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "name one file")
		return subcommands.ExitUsageError
	}
	document, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.base < 0 {
		status, header, text, err := c.call(http.MethodGet, "/v1/configuration", nil, nil, nil)
		if code := report(status, text, err); code != subcommands.ExitSuccess {
			return code
		}
		if c.base, err = strconv.ParseInt(header.Get("Topazshed-Version"), 10, 64); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	status, _, text, err := c.call(http.MethodPut, "/v1/configuration", url.Values{"base": {strconv.FormatInt(c.base, 10)}}, http.Header{"Topazshed-Operator-Key": {c.key}}, document)
	code := report(status, text, err)
	if code == subcommands.ExitSuccess {
		var reply adminapi.Reply
		json.Unmarshal(text, &reply)
		fmt.Printf("accepted as version %d\n", reply.Version)
		tellUnconfirmed(reply.Unconfirmed)
	}
	return code
}

type showCommand struct{ adminFlag }

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "read the newest configuration back" }
func (*showCommand) Usage() string    { return "show [-door IP:PORT]\n" }
func (c *showCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	status, header, text, err := c.call(http.MethodGet, "/v1/configuration", nil, nil, nil)
	code := report(status, text, err)
	if code == subcommands.ExitSuccess {
		fmt.Fprintf(os.Stderr, "version %s\n", header.Get("Topazshed-Version"))
		os.Stdout.Write(append(bytes.TrimRight(text, "\n"), '\n'))
	}
	return code
}

type zoneCommand struct {
	adminFlag
	isEmpty bool
	reason  string
}

func (c *zoneCommand) Name() string {
	if c.isEmpty {
		return "empty"
	}
	return "restore"
}
func (c *zoneCommand) Synopsis() string {
	if c.isEmpty {
		return "take all traffic off a district (zone)"
	}
	return "give an emptied district its traffic back"
}
func (c *zoneCommand) Usage() string {
	return c.Name() + " [-door IP:PORT] [-reason TEXT] DISTRICT\n"
}
func (c *zoneCommand) SetFlags(flags *flag.FlagSet) {
	c.adminFlag.SetFlags(flags)
	flags.StringVar(&c.reason, "reason", "operator", "why, shown by status")
}
func (c *zoneCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "name one district")
		return subcommands.ExitUsageError
	}
	status, _, text, err := c.call(http.MethodPost, "/v1/districts/"+flags.Arg(0)+"/"+c.Name(), url.Values{"reason": {c.reason}}, nil, nil)
	code := report(status, text, err)
	if code == subcommands.ExitSuccess {
		var reply adminapi.Reply
		json.Unmarshal(text, &reply)
		fmt.Println("accepted")
		tellUnconfirmed(reply.Unconfirmed)
	}
	return code
}

type statusCommand struct {
	adminFlag
	isJSON bool
}

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "show a node's state and why each standing is what it is"
}
func (*statusCommand) Usage() string { return "status [-door IP:PORT] [-json]\n" }
func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	c.adminFlag.SetFlags(flags)
	flags.BoolVar(&c.isJSON, "json", false, "print the whole status as JSON")
}
func (c *statusCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	status, _, text, err := c.call(http.MethodGet, "/v1/status", nil, nil, nil)
	code := report(status, text, err)
	if code != subcommands.ExitSuccess {
		return code
	}
	if c.isJSON {
		os.Stdout.Write(text)
		return code
	}
	var s adminapi.Status
	if err := json.Unmarshal(text, &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	printStatus(os.Stdout, &s)
	return code
}

type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("topazshed", Version)
	return subcommands.ExitSuccess
}
