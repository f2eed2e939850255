// Package keyfile reads secrets from files. Its errors never contain the secret.
package keyfile

import (
	"os"
	"strings"

	"peridotchute.example/common/fault"
)

// minKeyLength is the shortest accepted key, in bytes.
const minKeyLength = 16

// Read returns the first line of the file without surrounding white space. Errors
// have KindInvalid, also for keys shorter than minKeyLength.
func Read(path string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", fault.New(fault.KindInvalid, "keyfile.read", "", err)
	}
	line, _, _ := strings.Cut(string(raw), "\n")
	key := strings.TrimSpace(line)
	if len(key) < minKeyLength {
		return "", fault.Newf(fault.KindInvalid, "keyfile.read", "", "the key in %s has fewer than %d characters", path, minKeyLength)
	}
	return key, nil
}
