package catalog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Snapshot encodes the content for another daemon. Keys are replaced by their digests,
// since messages between daemons carry no keys.
func (c *Content) Snapshot() ([]byte, error) {
	hashed := *c
	hashed.Workspaces = make([]Workspace, len(c.Workspaces))
	for i, workspace := range c.Workspaces {
		workspace.Keys, workspace.KeyDigests = nil, workspace.digests()
		hashed.Workspaces[i] = workspace
	}
	snapshot, err := cbor.Marshal(hashed)
	return snapshot, eris.Wrap(err, "encode a snapshot of the tables")
}

// DecodeSnapshot decodes a snapshot of another daemon.
func DecodeSnapshot(snapshot []byte) (*Content, error) {
	var c Content
	if err := cbor.Unmarshal(snapshot, &c); err != nil {
		return nil, eris.Wrap(err, "decode a snapshot of the tables; run the same release on both hosts")
	}
	return &c, nil
}

// digests returns the digests of the workspace's keys.
func (w *Workspace) digests() []tables.KeyDigest {
	digests := append([]tables.KeyDigest(nil), w.KeyDigests...)
	for _, key := range w.Keys {
		digests = append(digests, tables.DigestKey(key))
	}
	return digests
}
