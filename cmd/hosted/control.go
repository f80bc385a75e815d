package main

import (
	"net/http"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/platform"
	"marigoldcleat.example/cleat/role/ctrl"
	"marigoldcleat.example/cleat/role/telem"
)

// confirmInterval is how often a control instance makes sure that it reaches a quorum.
const confirmInterval = 400 * time.Millisecond

func runControl(s *settings, boot *platform.Boot, logger *log.Logger) error {
	links, err := s.links()
	if err != nil {
		return trace.Wrap(err)
	}
	cfg := ctrl.Config{
		ID: controlName(boot.Links), Domain: boot.Domain, Listen: boot.Links, HTTP: boot.HTTP,
		DataFolder: boot.DataFolder, Controls: boot.Controls, Wire: links,
		Decoder:   platform.Tables{},
		ExtraHTTP: boot.Control,
		Extra:     func(r *ctrl.Role) http.Handler { return platform.NewControlAPI(r, r) },
		Autopilot: true, ConfirmInterval: confirmInterval,
	}
	names := make([]cleat.InstanceID, 0, len(boot.Controls))
	for _, address := range boot.Controls {
		names = append(names, controlName(address))
	}
	if boot.FirstStart && slices.Contains(names, cfg.ID) {
		cfg.First = names
	} else {
		cfg.Join = names
	}
	role, err := ctrl.Open(cfg, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	go followControls(s.file, boot.Controls, role, logger)
	ignoreReload(logger)
	return telem.RunDaemon(logger, role)
}

// settingsInterval is how often the settings file is read again.
const settingsInterval = time.Second

// followControls tells the role of control instances that the settings name later.
func followControls(file string, known []string, role *ctrl.Role, logger *log.Logger) {
	for {
		time.Sleep(settingsInterval)
		next, err := controls(file)
		if err != nil {
			logger.Warn("settings not read; the former ones stay", "err", trace.UserMessage(err))
			continue
		}
		if len(next) > 0 && !slices.Equal(next, known) {
			logger.Info("settings changed", "controls", next)
			known = next
			role.SetControls(next)
		}
	}
}
