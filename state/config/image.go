package config

import (
	"sort"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// image is the complete state as serialized into a snapshot of the log.
type image struct {
	Revision   cleat.Revision  `msgpack:"r"`
	Settings   []cleat.Setting `msgpack:"s"`
	Deletions  []deletion      `msgpack:"d"`
	DeltaFloor cleat.Revision  `msgpack:"f"`
	History    []HistoryEntry  `msgpack:"h"`
	Operations []operation     `msgpack:"o"`
	Tokens     []storedToken   `msgpack:"t"`
}

type storedToken struct {
	Hash  string `msgpack:"h"`
	Token Token  `msgpack:"t"`
}

// Marshal serializes the complete state; equal states give equal bytes.
func (s *State) Marshal() ([]byte, error) {
	im := image{
		Revision:   s.revision,
		Settings:   s.Snapshot().Settings,
		Deletions:  s.deletions,
		DeltaFloor: s.deltaFloor,
		History:    s.history.entries,
		Operations: s.operations.list(),
	}
	for hash, t := range s.tokens {
		im.Tokens = append(im.Tokens, storedToken{Hash: hash, Token: t})
	}
	sort.Slice(im.Tokens, func(i, j int) bool { return im.Tokens[i].Hash < im.Tokens[j].Hash })
	b, err := msgpack.Marshal(im)
	return b, trace.Wrap(err, "State.Marshal")
}

// Unmarshal replaces the state with a marshalled one, which must not be older.
func (s *State) Unmarshal(b []byte) error {
	var im image
	if err := msgpack.Unmarshal(b, &im); err != nil {
		return trace.Wrap(err, "State.Unmarshal")
	}
	if im.Revision < s.revision {
		assert.Fail("config.revision", "snapshot at revision %d replaces settings at revision %d", im.Revision, s.revision)
		return trace.BadParameter("State.Unmarshal: revision %d is older than %d", im.Revision, s.revision)
	}
	restored := NewState()
	restored.revision = im.Revision
	restored.deletions = im.Deletions
	restored.deltaFloor = im.DeltaFloor
	restored.restore(im)
	*s = *restored
	return nil
}

func (s *State) restore(im image) {
	for _, setting := range im.Settings {
		s.settings[setting.Path] = setting
		s.bytes += settingBytes(setting)
		for _, h := range keyHashes(setting.Path, setting.Value) {
			s.keyOwners[h] = setting.Path
		}
	}
	for _, e := range im.History {
		s.history.add(e)
	}
	for _, op := range im.Operations {
		s.operations.add(op.ID, op.Digest, op.Result)
	}
	for _, t := range im.Tokens {
		s.tokens[t.Hash] = t.Token
	}
}
