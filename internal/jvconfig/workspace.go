package jvconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Workspace is a group of callers that share keys and profiles.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the SHA-256 digests, in hex, of the bearer keys that callers authenticate with.
	Keys []string `json:"keys"`
	// Services are the names of the service pools that the workspace may call.
	Services []string `json:"services"`
}

// ParseWorkspace decodes and validates a workspace.
func ParseWorkspace(body []byte) (Workspace, error) {
	v, err := Parse[Workspace]("read workspace", body)
	if err != nil {
		return v, err
	}
	return v, v.Check()
}

// Check returns all errors in the workspace as one, or nil.
func (v Workspace) Check() error {
	var p Problems
	p.CheckName("name", v.Name)
	if len(v.Keys) == 0 {
		p.Add("keys", "is empty: give at least one SHA-256 digest of a key")
	}
	for i, k := range v.Keys {
		if d, err := hex.DecodeString(k); err != nil || len(d) != sha256.Size {
			p.Add(fmt.Sprintf("keys[%d]", i), "is not a SHA-256 digest in hex: give 64 hex digits, never the key itself")
		}
	}
	for i, s := range v.Services {
		p.CheckName(fmt.Sprintf("services[%d]", i), s)
	}
	return p.Err("check workspace")
}

// ItemName returns the name that the workspace is published under.
func (v Workspace) ItemName() string { return v.Name }

// AllowsService reports whether the workspace may call a service.
func (v Workspace) AllowsService(service string) bool {
	for _, s := range v.Services {
		if s == service {
			return true
		}
	}
	return false
}

// KeyDigest returns the SHA-256 digest of a key in hex, the form in which configuration holds keys.
func KeyDigest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}
