package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/reload"
	"peridotchute.example/common/settings"
	"peridotchute.example/operator/api"
)

// KeyFile is the content of the operator key file, JSON with comments.
type KeyFile struct {
	Operators []Operator `json:"operators" validate:"required,dive"`
}

// Operator is one holder of a key. The file holds the key's hash, never the key.
type Operator struct {
	Name      string     `json:"name" validate:"required"`
	KeySHA256 string     `json:"key_sha256" validate:"required,len=64,hexadecimal"`
	Roles     []api.Role `json:"roles" validate:"required,min=1,dive,oneof=read plan accept"`
}

// Keys are the operators' keys, read again when their file changes.
type Keys struct {
	file *reload.Value[[]holder]
	log  logrus.FieldLogger

	mu   sync.Mutex
	last string // reason logged last
}

// holder is an operator with the decoded hash of its key.
type holder struct {
	name  string
	hash  [sha256.Size]byte
	roles []api.Role
}

// LoadKeys reads the operator key file. Errors have KindInvalid.
func LoadKeys(path string, log logrus.FieldLogger) (*Keys, error) {
	file, err := reload.New(func() ([]holder, error) { return readHolders(path) }, path)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, "operator-keys.read", "", err)
	}
	return &Keys{file: file, log: log}, nil
}

func readHolders(path string) ([]holder, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f KeyFile
	if err := settings.Decode(path, raw, &f); err != nil {
		return nil, err
	}
	out := make([]holder, len(f.Operators))
	for i, op := range f.Operators {
		out[i] = holder{name: op.Name, roles: op.Roles}
		sum, err := hex.DecodeString(op.KeySHA256)
		if err != nil {
			return nil, err
		}
		copy(out[i].hash[:], sum)
	}
	return out, nil
}

// find returns the operator that a key belongs to. Hashes are compared in
// constant time, and all of them are compared whichever matches.
func (k *Keys) find(key string) (holder, bool) {
	all := k.file.Get()
	k.complain()
	sum := sha256.Sum256([]byte(key))
	var found holder
	ok := false
	for _, h := range all {
		if subtle.ConstantTimeCompare(h.hash[:], sum[:]) == 1 {
			found, ok = h, true
		}
	}
	return found, ok
}

// may reports whether a role is granted. Every operator may read.
func (h holder) may(role api.Role) bool {
	return role == api.RoleRead || slices.Contains(h.roles, role)
}

// bearer returns the key of an Authorization header, or "".
func bearer(header string) string {
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// complain logs that the key file cannot be read, once for each reason.
func (k *Keys) complain() {
	reason := ""
	err := k.file.Err()
	if err != nil {
		reason = err.Error()
	}
	k.mu.Lock()
	again := reason == k.last
	k.last = reason
	k.mu.Unlock()
	if err != nil && !again {
		event.Log(k.log, event.OperatorKeysUnchanged, event.Err(err))
	}
}
