package config

import (
	"encoding/hex"
	"fmt"
	"strings"
)

func (k *checker) services() {
	services := k.namespace("service")
	for i, s := range k.c.Services {
		at := fmt.Sprintf("services[%d]", i)
		services.add(at+".name", s.Name)
		if strings.Contains(s.Name, "/") {
			k.add(at+".name", "leave / out", "%q is one segment of a path", s.Name)
		}
		k.pool(at, s.Pool, "service "+s.Name)
		k.calls(at, s)
	}
}

// calls checks the declared calls of a service.
func (k *checker) calls(at string, s Service) {
	once := map[Action]bool{}
	for i, a := range s.Actions {
		k.call(fmt.Sprintf("%s.actions[%d]", at, i), a)
		once[a] = true
	}
	for i, a := range s.Repeat {
		field := fmt.Sprintf("%s.idempotent[%d]", at, i)
		k.call(field, a)
		if once[a] {
			k.add(field, "keep it in one of the two lists", "%s %s is declared as an action as well", a.Method, a.Path)
		}
	}
}

func (k *checker) call(at string, a Action) {
	if a.Path != "" && !strings.HasPrefix(a.Path, "/") {
		k.add(at+".path", "begin it with /", "%q is not a path", a.Path)
	}
	if strings.Contains(strings.TrimSuffix(a.Path, "/*"), "*") {
		k.add(at+".path", "end the path in /* or leave * out", "%q has a * that is not its last segment", a.Path)
	}
	if a.Method != strings.ToUpper(a.Method) || !printable(a.Method) {
		k.add(at+".method", "give a method such as POST", "%q is not an HTTP method", a.Method)
	}
}

func (k *checker) teams() {
	teams := k.namespace("team")
	owner := map[string]string{}
	for i, t := range k.c.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		teams.add(at+".name", t.Name)
		for j, h := range t.KeyHashes {
			k.keyHash(fmt.Sprintf("%s.key_hashes[%d]", at, j), strings.ToLower(h), t.Name, owner)
		}
	}
}

// keyHash checks one key's hash. The hash itself is not repeated in messages,
// since a key may have been put there by mistake.
func (k *checker) keyHash(field, hash, team string, owner map[string]string) {
	if sum, err := hex.DecodeString(hash); err != nil || len(sum) != 32 {
		k.add(field, "give the SHA-256 of the key, never the key", "not 64 hexadecimal digits")
		return
	}
	if other, ok := owner[hash]; ok {
		k.add(field, "give each team keys of its own", "team %q already has this key", other)
		return
	}
	owner[hash] = team
}
