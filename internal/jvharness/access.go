package jvharness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

// PlatformURL returns the base URL of the log and the VM list.
func (c *Cluster) PlatformURL() string { return "http://" + c.addresses["platform"] }

// CallersURL returns the base URL of a router's callers' port.
func (c *Cluster) CallersURL(vm string) string { return "http://" + c.addresses[vm] }

// OperatorsPort returns the operators' port of all routers.
func (c *Cluster) OperatorsPort() int { return c.base + portOperators }

// OperatorsURL returns the base URL of a router's operators' port.
func (c *Cluster) OperatorsURL(vm string) string {
	host, _, _ := net.SplitHostPort(c.addresses[vm])
	return fmt.Sprintf("http://%s:%d", host, c.OperatorsPort())
}

// Routers returns the base URLs of the routers that are on the list, by name.
func (c *Cluster) Routers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, v := range c.vms {
		if v.Role == jvplatform.RoleEntry {
			list = append(list, c.CallersURL(v.Name))
		}
	}
	return list
}

// Process returns the process of a name.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// SetFaults switches the faults of a stand-in.
func (c *Cluster) SetFaults(name string, f jvstandin.Faults) error {
	data, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	response, err := http.Post("http://"+c.addresses[name]+"/admin/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("set faults of %s: %s", name, response.Status)
	}
	return nil
}

// Dump returns a router's state.
func (c *Cluster) Dump(vm string) (jvfleet.Dump, error) {
	var d jvfleet.Dump
	err := getJSON(c.OperatorsURL(vm)+"/dump", &d)
	return d, err
}

func getJSON(target string, into any) error {
	response, err := http.Get(target)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode "+target)
}
