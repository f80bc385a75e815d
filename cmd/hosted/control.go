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
	"marigoldcleat.example/cleat/state/quorum"
)

// confirmInterval is how often a control instance confirms that it reaches a quorum.
const confirmInterval = 400 * time.Millisecond

// maxTolerated is the number of lost members that the largest log survives.
const maxTolerated = (quorum.MaxVoters - 1) / 2

func runControl(f *flags, boot *platform.Boot, logger *log.Logger) error {
	linkCfg, err := f.linkConfig()
	if err != nil {
		return trace.Wrap(err)
	}
	cfg := ctrl.Config{
		ID: controlID(boot.Links), Domain: boot.Domain, Listen: boot.Links, HTTP: boot.HTTP,
		DataFolder: boot.DataFolder, Controls: boot.Controls, Wire: linkCfg,
		Decoder:   platform.RouteTableDecoder{},
		ExtraHTTP: boot.ControlAPI,
		Extra:     func(r *ctrl.Role) http.Handler { return platform.NewControlAPI(r, r, r) },
		Autopilot: true, ConfirmInterval: confirmInterval,
		ToleratedLosses: min(boot.Tolerated, maxTolerated),
		MaxHeldBytes:    maxHeldBytes(boot), MaxConns: maxConns(boot),
	}
	members := make([]cleat.InstanceID, 0, len(boot.Controls))
	for _, address := range boot.Controls {
		members = append(members, controlID(address))
	}
	if boot.FirstStart && slices.Contains(members, cfg.ID) {
		cfg.InitialInstances, cfg.NewFleet = members, true
	} else {
		cfg.Join = members
	}
	role, err := ctrl.Open(cfg, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	go watchControls(f.settingsFile, boot.Controls, role, logger)
	return telem.RunDaemon(logger, role)
}

// settingsPollInterval is how often the settings file is read again.
const settingsPollInterval = time.Second

// watchControls polls the settings file and passes changed addresses of control instances to the role.
func watchControls(file string, known []string, role *ctrl.Role, logger *log.Logger) {
	for {
		time.Sleep(settingsPollInterval)
		next, err := readControls(file)
		if err != nil {
			logger.Warn("can't read the settings file; keeping the previous settings", "err", trace.UserMessage(err))
			continue
		}
		if len(next) > 0 && !slices.Equal(next, known) {
			logger.Info("settings changed", "controls", next)
			known = next
			role.SetControls(next)
		}
	}
}
