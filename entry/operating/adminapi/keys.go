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

// Operator is an operator as listed in the key file, with the hash of its key.
type Operator struct {
	Name      string     `json:"name" validate:"required"`
	KeySHA256 string     `json:"key_sha256" validate:"required,len=64,hexadecimal"`
	Roles     []api.Role `json:"roles" validate:"required,min=1,dive,oneof=read plan accept"`
}

// Keys holds the operator keys and reloads them when their file changes.
type Keys struct {
	file *reload.Value[[]operatorKey]
	log  logrus.FieldLogger

	mu         sync.Mutex
	lastReason string // last logged error, "" after a successful read
}

// operatorKey is an operator with the decoded hash of its key.
type operatorKey struct {
	name  string
	hash  [sha256.Size]byte
	roles []api.Role
}

// LoadKeys reads the operator key file. The error has KindInvalid.
func LoadKeys(path string, log logrus.FieldLogger) (*Keys, error) {
	file, err := reload.New(func() ([]operatorKey, error) { return readOperatorKeys(path) }, path)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, "operator-keys.read", "", err)
	}
	return &Keys{file: file, log: log}, nil
}

func readOperatorKeys(path string) ([]operatorKey, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f KeyFile
	if err := settings.Decode(path, raw, &f); err != nil {
		return nil, err
	}
	out := make([]operatorKey, len(f.Operators))
	for i, op := range f.Operators {
		out[i] = operatorKey{name: op.Name, roles: op.Roles}
		sum, err := hex.DecodeString(op.KeySHA256)
		if err != nil {
			return nil, err
		}
		copy(out[i].hash[:], sum)
	}
	return out, nil
}

// find returns the operator with the given key. It compares all hashes, each in
// constant time, so that the duration reveals nothing about the keys.
func (k *Keys) find(key string) (operatorKey, bool) {
	keys := k.file.Get()
	k.logReadError()
	sum := sha256.Sum256([]byte(key))
	var found operatorKey
	ok := false
	for _, op := range keys {
		if subtle.ConstantTimeCompare(op.hash[:], sum[:]) == 1 {
			found, ok = op, true
		}
	}
	return found, ok
}

// hasRole reports whether the operator has a role. Every operator has RoleRead.
func (op operatorKey) hasRole(role api.Role) bool {
	return role == api.RoleRead || slices.Contains(op.roles, role)
}

// bearer returns the bearer token of an Authorization header, or "".
func bearer(header string) string {
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// logReadError logs a failed read of the key file, unless the same error was
// logged last.
func (k *Keys) logReadError() {
	reason := ""
	err := k.file.Err()
	if err != nil {
		reason = err.Error()
	}
	k.mu.Lock()
	repeated := reason == k.lastReason
	k.lastReason = reason
	k.mu.Unlock()
	if err != nil && !repeated {
		event.Log(k.log, event.OperatorKeysUnchanged, event.Err(err))
	}
}
