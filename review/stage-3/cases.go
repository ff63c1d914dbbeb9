package main

import (
	"fmt"
	"net/http"
	"time"
)

// cases are the scripts by name.
var cases = map[string]func(){"drill": drill, "memory": memory, "whole": whole, "freeze": freeze, "term": term}

// config returns a configuration of the operator, with routes to model servers, to a service whose requests may
// not be repeated, and to one whose requests may.
func config(version int, prepaid int64) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target float64, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target,
			"priority": 1, "service": service, "maxAttempts": 2, "anonymous": false, "stickySessions": false, "streamResume": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-draft", "/draft/", "streaming", "engines", 15000, 800, map[string]any{"streamResume": true, "stickySessions": true, "targetGapMs": 200}),
			route("r-chat", "/chat/", "streaming", "engines", 15000, 800, map[string]any{"streamResume": true, "stickySessions": true, "targetGapMs": 200}),
			route("r-book", "/book/", "unsafe", "desk", 3000, 100, map[string]any{"maxAttempts": 1}),
			route("r-ask", "/ask/", "safe", "engines", 15000, 400, map[string]any{"stickySessions": true}),
			route("r-stock", "/stock/", "safe", "desk", 3000, 100, nil),
		},
		"services": []any{
			map[string]any{"name": "engines", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 372904, "kvTokenBytes": 18432, "linkMbps": 550000.0, "stride": stride, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
				"models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1, "prepaid": prepaid},
		},
	}
}

// deploy starts a store with a configuration, and routers.
func deploy(s *store, count int, prepaid int64) []*router {
	s.put("keyed.op", "config", config(1, prepaid))
	for n := range count {
		newRouter(s, "z-"+string(rune('a'+n%3))).start()
	}
	for _, r := range routers {
		r.awaitReady(20 * time.Second)
	}
	return routers
}

func draft(prompt, output int) *request {
	id := newID()
	return &request{id: id, method: http.MethodPost, path: "/draft/x", deadline: 15 * time.Second, body: "prompt of " + id, header: map[string]string{
		"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", prompt, output), "X-Prefix-Hash": fmt.Sprintf("%x:%d", 0x5c1e0000+lastRequest.Load(), prompt),
	}}
}

func booking() *request {
	id := newID()
	return &request{id: id, method: http.MethodPost, path: "/book/deposit", deadline: time.Second, body: "deposit of " + id}
}
