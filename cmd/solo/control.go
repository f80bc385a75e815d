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

const tokenFile = "root-token" // In the control instance's data folder.

// startControl starts one control instance in a folder that goes away with
// solo, and gives it the first settings.
func (s *solo) startControl() error {
	folder, err := os.MkdirTemp("", "cleat-solo-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.folder = folder
	s.control, err = ctrl.Open(ctrl.Config{
		ID: "control-1", Domain: domain, Listen: loopback, HTTP: loopback, DataFolder: folder,
		InitialInstances: []cleat.InstanceID{"control-1"}, Wire: s.links,
	}, s.log.With("instance", "control-1"))
	if err != nil {
		return trace.Wrap(err)
	}
	s.controlEnd = make(chan error, 1)
	go func() { s.controlEnd <- s.control.Run() }()
	return s.writeSettings()
}

func (s *solo) writeSettings() error {
	token, err := s.rootToken()
	if err != nil {
		return trace.Wrap(err)
	}
	s.token = token
	change, err := demoChange()
	if err != nil {
		return trace.Wrap(err)
	}
	client := admin.NewClient([]string{s.controlURL()}, token)
	_, err = client.Change(context.Background(), change)
	return trace.Wrap(err, "solo.writeSettings")
}

func (s *solo) controlURL() string { return "http://" + s.control.HTTPAddr() }

// rootToken waits until the control instance has made the fleet's first token.
func (s *solo) rootToken() (string, error) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		b, err := os.ReadFile(filepath.Join(s.folder, tokenFile))
		if token := string(bytes.TrimSpace(b)); err == nil && token != "" {
			return token, nil
		}
	}
	return "", trace.ConnectionProblem(nil, "solo.rootToken: the control instance made no token in %v", readyTimeout)
}

// endControl ends the control instance and removes its folder.
func (s *solo) endControl() error {
	if s.control == nil {
		return trace.ConvertSystemError(os.RemoveAll(s.folder))
	}
	s.control.Close()
	err := <-s.controlEnd
	s.control = nil
	return trace.NewAggregate(err, os.RemoveAll(s.folder))
}
