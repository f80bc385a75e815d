package config

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// MaxValueBytes bounds one document.
const MaxValueBytes = 64 << 10

// MaxReplicas bounds the requested replicas of one model.
const MaxReplicas = 10000

// Share is a workspace's weight when capacity is shared, stored at /fleet/shares/<team>/<name>.
type Share struct {
	Share float64 `json:"share"`
}

// Validate returns a trace.BadParameter error when the share is out of range.
func (s *Share) Validate() error {
	if s.Share < cleat.MinShare || s.Share > cleat.MaxShare {
		return trace.BadParameter("Share.Validate: share must be between %v and %v, not %v", cleat.MinShare, cleat.MaxShare, s.Share)
	}
	return nil
}

// Placement bounds how many upstreams hold a model, stored at /fleet/placement/<model>.
type Placement struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (p *Placement) Validate() error {
	if p.Min < 0 || p.Min > MaxReplicas {
		return trace.BadParameter("Placement.Validate: min must be between 0 and %d, not %d", MaxReplicas, p.Min)
	}
	if p.Max < p.Min || p.Max > MaxReplicas {
		return trace.BadParameter("Placement.Validate: max must be between min and %d, not %d", MaxReplicas, p.Max)
	}
	return nil
}

// Defaults and upper bounds of the weight store.
const (
	DefaultLoadsPerMinute = 6.0
	DefaultLoadBurst      = 2
	MaxLoadsPerMinute     = 6000.0
	MaxLoadBurst          = 1000
)

// WeightStore sets the model load rate that all upstreams share, stored at /fleet/weight_store.
type WeightStore struct {
	LoadsPerMinute float64 `json:"loads_per_minute"`
	Burst          int     `json:"burst"`
}

// Defaults sets the fields that are zero.
func (w *WeightStore) Defaults() {
	if w.LoadsPerMinute == 0 {
		w.LoadsPerMinute = DefaultLoadsPerMinute
	}
	if w.Burst == 0 {
		w.Burst = DefaultLoadBurst
	}
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (w *WeightStore) Validate() error {
	if w.LoadsPerMinute < 0 || w.LoadsPerMinute > MaxLoadsPerMinute {
		return trace.BadParameter("WeightStore.Validate: loads_per_minute must be between 0 and %v", MaxLoadsPerMinute)
	}
	if w.Burst < 1 || w.Burst > MaxLoadBurst {
		return trace.BadParameter("WeightStore.Validate: burst must be between 1 and %d", MaxLoadBurst)
	}
	return nil
}

// Upstream pins the model, adapters and role of one upstream regardless of
// demand, stored at /fleet/upstreams/<upstream>.
type Upstream struct {
	Model    cleat.ModelID `json:"model"`
	Version  string        `json:"version"`
	Adapters []string      `json:"adapters"`
	Role     string        `json:"role"`
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (u *Upstream) Validate() error {
	if u.Model == "" && u.Role == "" {
		return trace.BadParameter("Upstream.Validate: model or role must be given")
	}
	if u.Model == "" && (u.Version != "" || len(u.Adapters) > 0) {
		return trace.BadParameter("Upstream.Validate: version and adapters need a model")
	}
	return nil
}

type document interface {
	Validate() error
}

type defaulter interface {
	Defaults()
}

func newDocument(k Kind) document {
	switch k {
	case KindWorkspace:
		return new(cleat.Workspace)
	case KindShare:
		return new(Share)
	case KindRule:
		return new(cleat.Rule)
	case KindClass:
		return new(cleat.Class)
	case KindLimits:
		return new(cleat.Limits)
	case KindPlacement:
		return new(Placement)
	case KindWeightStore:
		return new(WeightStore)
	case KindUpstream:
		return new(Upstream)
	}
	return nil
}

// Validate checks a value for its path and returns it in compact form; the
// error is a trace.BadParameter that names the path and the wrong field.
func Validate(path string, value json.RawMessage) (json.RawMessage, error) {
	p, err := ParsePath(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(value) > MaxValueBytes {
		return nil, trace.BadParameter("Validate: %s: the document exceeds %d bytes", path, MaxValueBytes)
	}
	if err := decodeDocument(newDocument(p.kind), value, true); err != nil {
		return nil, trace.BadParameter("Validate: %s: %v", path, err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return nil, trace.BadParameter("Validate: %s: %v", path, err)
	}
	return compact.Bytes(), nil
}

// decodeDocument decodes and validates value into d. Unknown fields are refused
// only in operators' input, so that older nodes keep serving with newer settings.
func decodeDocument(d document, value json.RawMessage, strict bool) error {
	dec := json.NewDecoder(bytes.NewReader(value))
	if strict {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(d); err != nil {
		return err
	}
	if strict && dec.More() {
		return trace.BadParameter("more than one JSON value")
	}
	if withDefaults, ok := d.(defaulter); ok {
		withDefaults.Defaults()
	}
	return d.Validate()
}
