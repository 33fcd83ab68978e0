package configurer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/go-faster/errors"
)

// DocumentName is the key of the configuration in the store.
const DocumentName = "configuration"

// KeyPrefix is the prefix of each key of a workspace.
const KeyPrefix = "cg"

// Configurer holds the active configuration.
type Configurer interface {
	// Apply makes a newer document active, or returns an error if it is invalid or has an older revision.
	Apply(d replicator.Document) error
	// Configuration returns the active configuration.
	Configuration() chivegauge.Configuration
	// Version returns the store's version of the active configuration, 0 if there is none.
	Version() uint64
	// Workspace returns the workspace of a key and the key's ID, or a refusal.
	Workspace(key string) (workspace, keyID string, refusal *chivegauge.Refusal)
	// Subscribe registers a function that is called with each configuration that becomes active.
	Subscribe(f func(chivegauge.Configuration))
}

type credential struct {
	workspace string
	hash      []byte
}

type view struct {
	version uint64
	config  chivegauge.Configuration
	keys    map[string]credential
}

type configurer struct {
	view        atomic.Pointer[view]
	subscribers []func(chivegauge.Configuration)
}

// New returns a configurer without routes and workspaces.
func New() Configurer {
	c := &configurer{}
	c.view.Store(&view{})
	return c
}

// Subscribe registers a function; it must be called before the first document is applied.
func (c *configurer) Subscribe(f func(chivegauge.Configuration)) {
	c.subscribers = append(c.subscribers, f)
}

// Apply makes a newer document active.
func (c *configurer) Apply(d replicator.Document) error {
	config, err := chivegauge.DecodeConfiguration(d.Value)
	if err != nil {
		return err
	}
	if old := c.view.Load(); config.Revision < old.config.Revision {
		return errors.Wrapf(replicator.ErrOlder, "revision %d is below %d", config.Revision, old.config.Revision)
	}
	v := &view{
		version: d.Version,
		config:  config,
		keys:    map[string]credential{},
	}
	for _, w := range config.Workspaces {
		for _, k := range w.Keys {
			hash, err := hex.DecodeString(k.Hash)
			if err != nil {
				return errors.Wrapf(err, "hash of key %s", k.ID)
			}
			v.keys[k.ID] = credential{
				workspace: w.Name,
				hash:      hash,
			}
		}
	}
	c.view.Store(v)
	for _, f := range c.subscribers {
		f(config)
	}
	return nil
}

// Configuration returns the active configuration.
func (c *configurer) Configuration() chivegauge.Configuration {
	return c.view.Load().config
}

// Version returns the store's version of the active configuration.
func (c *configurer) Version() uint64 {
	return c.view.Load().version
}

// Workspace returns the workspace and the ID of a key; the hash of the key is compared in constant time.
func (c *configurer) Workspace(key string) (string, string, *chivegauge.Refusal) {
	if key == "" {
		return "", "", chivegauge.Refuse(chivegauge.CodeKeyMissing, "no key came with the request")
	}
	id, hash := SplitKey(key)
	cred, ok := c.view.Load().keys[id]
	if !ok {
		cred.hash = make([]byte, sha256.Size)
	}
	same := subtle.ConstantTimeCompare(cred.hash, hash) == 1
	if !ok || !same {
		return "", "", chivegauge.Refuse(chivegauge.CodeKeyUnknown, "the key is not known or was withdrawn")
	}
	return cred.workspace, id, nil
}

// SplitKey returns the public ID of a key and the hash of the whole key.
func SplitKey(key string) (string, []byte) {
	sum := sha256.Sum256([]byte(key))
	parts := strings.SplitN(key, "_", 3)
	if len(parts) != 3 || parts[0] != KeyPrefix {
		return "", sum[:]
	}
	return parts[1], sum[:]
}
