package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"topazshed/internal/adminapi"
	"topazshed/internal/settings"
)

const (
	// defaultAdmin is the address that operators' commands call if none is given.
	defaultAdmin = "127.0.0.1:7003"
	// adminTimeout bounds one call of an operator's command.
	adminTimeout = 10 * time.Second
	// versionHeader carries the version of a configuration that is read back.
	versionHeader = "Topazshed-Version"
	// operatorKeyHeader makes repeated puts one.
	operatorKeyHeader = "Topazshed-Operator-Key"
)

// adminFlag is the flag with any node's admin address, under its name and its old one.
type adminFlag struct{ admin, door string }

func (f *adminFlag) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.admin, "admin", "", "IP:port of any node's admin address (default "+defaultAdmin+")")
	flags.StringVar(&f.door, "door", "", "old spelling of -admin, accepted for one version")
}

// given is the address that the flags name, empty if they name none. Two different ones are a *settings.FaultsError.
func (f *adminFlag) given() (string, error) {
	faults := &settings.FaultList{}
	address := settings.Renamed(faults, "-admin", f.admin, "-door", f.door)
	return address, faults.Err()
}

// adminRequest is a call of the admin API.
type adminRequest struct {
	method, path string
	query        url.Values
	header       http.Header
	body         []byte
}

// adminResponse is the response to a call that the node took.
type adminResponse struct {
	header http.Header
	body   []byte
}

// reply reads the body of a response to a change.
func (r *adminResponse) reply() (adminapi.Reply, error) {
	var reply adminapi.Reply
	if err := json.Unmarshal(r.body, &reply); err != nil {
		return reply, fmt.Errorf("the node's reply is not the expected JSON: %w", err)
	}
	return reply, nil
}

// RefusedError says that the node refused a call.
type RefusedError struct {
	// Status is the HTTP status code.
	Status int
	// Reply says why; its kind is empty if the response was not the admin API's.
	Reply adminapi.Reply
	// Body is the whole response.
	Body []byte
}

func (e *RefusedError) Error() string {
	if e.Reply.Kind == "" {
		return fmt.Sprintf("status %d: %s", e.Status, e.Body)
	}
	lines := []string{fmt.Sprintf("refused (%s): %s", e.Reply.Kind, e.Reply.Message)}
	for _, fault := range e.Reply.Faults {
		lines = append(lines, fmt.Sprintf("  %s: %s", fault.Path, fault.Message))
	}
	return strings.Join(lines, "\n")
}

// UnreachableError says that no node answered at an admin address.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%v; check that a node's admin address is %s", e.Cause, e.Address)
}

// Unwrap gives the network's error.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// call makes a call of the admin API. The error is a *settings.FaultsError, an *UnreachableError or a *RefusedError.
func (f *adminFlag) call(call adminRequest) (*adminResponse, error) {
	given, err := f.given()
	if err != nil {
		return nil, err
	}
	address := cmp.Or(given, defaultAdmin)
	target := url.URL{Scheme: "http", Host: address, Path: call.path, RawQuery: call.query.Encode()}
	request, err := http.NewRequest(call.method, target.String(), bytes.NewReader(call.body))
	if err != nil {
		return nil, &UnreachableError{address, err}
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, &UnreachableError{address, err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, &UnreachableError{address, err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, newRefused(response.StatusCode, body)
	}
	return &adminResponse{response.Header, body}, nil
}

func newRefused(status int, body []byte) *RefusedError {
	refused := &RefusedError{Status: status, Body: body}
	if json.Unmarshal(body, &refused.Reply) != nil {
		refused.Reply = adminapi.Reply{}
	}
	return refused
}

// status reads a node's status.
func (f *adminFlag) status() (*adminapi.Status, []byte, error) {
	response, err := f.call(adminRequest{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return nil, nil, err
	}
	status := &adminapi.Status{}
	if err := json.Unmarshal(response.body, status); err != nil {
		return nil, nil, fmt.Errorf("the node's status is not the expected JSON: %w", err)
	}
	return status, response.body, nil
}
