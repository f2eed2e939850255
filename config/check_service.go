package config

import (
	"encoding/hex"
	"fmt"
	"strings"
)

func (k *checker) checkServices() {
	services := k.newNamespace("service")
	for i, s := range k.c.Services {
		path := fmt.Sprintf("services[%d]", i)
		services.add(path+".name", s.Name)
		if strings.Contains(s.Name, "/") {
			k.add(path+".name", "remove the /", "%q must be a single path segment", s.Name)
		}
		k.checkPool(path, s.Pool, "service "+s.Name)
		k.checkCalls(path, s)
	}
}

// checkCalls checks the actions and idempotent calls of a service.
func (k *checker) checkCalls(path string, s Service) {
	actions := map[Action]bool{}
	for i, a := range s.Actions {
		k.checkCall(fmt.Sprintf("%s.actions[%d]", path, i), a)
		actions[a] = true
	}
	for i, a := range s.Idempotent {
		field := fmt.Sprintf("%s.idempotent[%d]", path, i)
		k.checkCall(field, a)
		if actions[a] {
			k.add(field, "keep it in one of the two lists", "%s %s is declared as an action as well", a.Method, a.Path)
		}
	}
}

func (k *checker) checkCall(path string, a Action) {
	if a.Path != "" && !strings.HasPrefix(a.Path, "/") {
		k.add(path+".path", "start it with /", "%q is not a path", a.Path)
	}
	if strings.Contains(strings.TrimSuffix(a.Path, "/*"), "*") {
		k.add(path+".path", "end the path in /* or remove the *", "%q has a * that is not its last segment", a.Path)
	}
	if a.Method != strings.ToUpper(a.Method) || !printable(a.Method) {
		k.add(path+".method", "use a method such as POST", "%q is not an HTTP method", a.Method)
	}
}

func (k *checker) checkTeams() {
	teams := k.newNamespace("team")
	owners := map[string]string{}
	for i, t := range k.c.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		teams.add(path+".name", t.Name)
		for j, h := range t.KeyHashes {
			k.checkKeyHash(fmt.Sprintf("%s.key_hashes[%d]", path, j), strings.ToLower(h), t.Name, owners)
		}
	}
}

// checkKeyHash checks the hash of one key. Messages do not contain the value, because
// it may be a plain key that was entered by mistake.
func (k *checker) checkKeyHash(field, hash, team string, owners map[string]string) {
	if sum, err := hex.DecodeString(hash); err != nil || len(sum) != 32 {
		k.add(field, "enter the SHA-256 of the key instead of the key", "not 64 hexadecimal digits")
		return
	}
	if other, ok := owners[hash]; ok {
		k.add(field, "use different keys for each team", "team %q already has this key", other)
		return
	}
	owners[hash] = team
}
