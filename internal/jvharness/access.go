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

// CallersURL returns the base URL of a router's port for callers.
func (c *Cluster) CallersURL(vm string) string { return "http://" + c.addresses[vm] }

// OperatorsPort returns the port for operators, which is the same at all routers.
func (c *Cluster) OperatorsPort() int { return c.basePort + portOperators }

// OperatorsURL returns the base URL of a router's port for operators.
func (c *Cluster) OperatorsURL(vm string) string {
	host, _, _ := net.SplitHostPort(c.addresses[vm])
	return fmt.Sprintf("http://%s:%d", host, c.OperatorsPort())
}

// Routers returns the base URLs for callers of the routers on the VM list, in list order.
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

// RouterNames returns the names of the routers on the VM list, in list order.
func (c *Cluster) RouterNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, v := range c.vms {
		if v.Role == jvplatform.RoleEntry {
			list = append(list, v.Name)
		}
	}
	return list
}

// Process returns the process that was started under name, or nil.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// SetFaults replaces the faults of a stand-in.
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

// Dump returns the dump of a router's state.
func (c *Cluster) Dump(vm string) (jvfleet.Dump, error) {
	var d jvfleet.Dump
	err := getJSON(c.OperatorsURL(vm)+"/dump", &d)
	return d, err
}

func getJSON(url string, into any) error {
	response, err := http.Get(url)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode "+url)
}
