package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/role/ctrl"
)

const rootTokenFile = "root-token" // In the control instance's data folder.

// startControl starts one control instance, with its data in a temporary folder
// that stopControl removes, and writes the demo settings.
func (s *solo) startControl() error {
	folder, err := os.MkdirTemp("", "cleat-solo-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.dataFolder = folder
	s.control, err = ctrl.Open(ctrl.Config{
		ID: "control-1", Domain: domain, Listen: loopbackAddr, HTTP: loopbackAddr, DataFolder: folder,
		InitialInstances: []cleat.InstanceID{"control-1"}, Wire: s.wireCfg,
	}, s.log.With("instance", "control-1"))
	if err != nil {
		return trace.Wrap(err)
	}
	s.controlURL = "http://" + s.control.HTTPAddr()
	s.controlErr = make(chan error, 1)
	go func() { s.controlErr <- s.control.Run() }()
	return s.writeSettings()
}

// writeSettings writes the demo settings with the fleet's first token, which it
// keeps for printWelcome.
func (s *solo) writeSettings() error {
	token, err := s.rootToken()
	if err != nil {
		return trace.Wrap(err)
	}
	s.operatorToken = token
	change, err := demoChange()
	if err != nil {
		return trace.Wrap(err)
	}
	client := admin.NewClient([]string{s.controlURL}, token)
	_, err = client.Change(context.Background(), change)
	return trace.Wrap(err, "solo.writeSettings")
}

// rootToken waits until the control instance has created the fleet's first token,
// and returns its secret.
func (s *solo) rootToken() (string, error) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		b, err := os.ReadFile(filepath.Join(s.dataFolder, rootTokenFile))
		if token := string(bytes.TrimSpace(b)); err == nil && token != "" {
			return token, nil
		}
	}
	return "", trace.ConnectionProblem(nil, "solo.rootToken: the control instance did not create a token within %v", readyTimeout)
}

// stopControl stops the control instance, if it runs, and removes its folder.
func (s *solo) stopControl() error {
	if s.control == nil {
		return trace.ConvertSystemError(os.RemoveAll(s.dataFolder))
	}
	s.control.Close()
	err := <-s.controlErr
	s.control = nil
	return trace.NewAggregate(err, os.RemoveAll(s.dataFolder))
}
