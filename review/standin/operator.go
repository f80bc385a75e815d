package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// config is a configuration as the operator sends it.
type config struct {
	Version  uint64           `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

func route(name, kind, service string, attempts int, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout.Milliseconds(), "target-latency-ms": 300,
		"priority": 2, "service": service, "max-attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

// plainConfig has one plain service, with an unsafe and a safe route.
func plainConfig() *config {
	return &config{
		Version:  1,
		Routes:   []map[string]any{route("pay", "unsafe", "desk", 1, 2*time.Second), route("look", "safe", "desk", 2, 2*time.Second)},
		Services: []map[string]any{{"name": "desk", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false}},
		Limits: map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tokens-per-s": 180000,
		},
		Tenants: []map[string]any{{"name": tenant, "api-keys": []string{key}, "priority": 1}},
	}
}

// callTime is how long a caller of control waits for an answer.
const callTime = time.Second

// call sends a call to one control instance, as an operator or a server does.
func (w *world) call(addr, method, path string, body []byte) (int, []byte, error) {
	client := http.Client{Timeout: callTime}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// callAny tries the control instances, from a random one on, until one acknowledges the
// call. It returns that one.
func (w *world) callAny(method, path string, body []byte) (string, error) {
	first := w.intn(len(w.controls))
	err := fmt.Errorf("no control instance")
	for i := range w.controls {
		addr := w.controls[(first+i)%len(w.controls)]
		var status int
		if status, _, err = w.call(addr, method, path, body); err == nil && status < http.StatusMultipleChoices {
			return addr, nil
		}
		if err == nil {
			err = fmt.Errorf("%s %s at %s: status %d", method, path, addr, status)
		}
	}
	return "", err
}

// putConfig sends a configuration until it is acknowledged.
func (w *world) putConfig(c *config, within time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		addr, err := w.callAny(http.MethodPut, "/marigoldcleat/config", body)
		if err == nil {
			w.notef("operator: version %d is acknowledged by %s", c.Version, addr)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("version %d is not acknowledged: %w", c.Version, err)
		}
	}
}
