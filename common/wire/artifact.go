package wire

import (
	"fmt"
	"strings"
)

// Artifact is one version of a model or adapter that can be resident in
// accelerator memory.
type Artifact struct {
	Kind    ArtifactKind `json:"kind"`
	Name    string       `json:"name"`
	Version string       `json:"version"`
}

// ArtifactKind is the kind of an artifact: a model or an adapter.
type ArtifactKind string

// The kinds of artifact.
const (
	KindModel   ArtifactKind = "model"
	KindAdapter ArtifactKind = "adapter"
)

// String returns the form kind/name@version used in headers and dumps.
func (a Artifact) String() string {
	return string(a.Kind) + "/" + a.Name + "@" + a.Version
}

// ParseArtifact parses the form that String returns.
func ParseArtifact(s string) (Artifact, error) {
	kind, rest, ok := strings.Cut(s, "/")
	at := strings.LastIndexByte(rest, '@')
	if !ok || at <= 0 || at == len(rest)-1 {
		return Artifact{}, fmt.Errorf("artifact %q is not of the form kind/name@version", s)
	}
	a := Artifact{Kind: ArtifactKind(kind), Name: rest[:at], Version: rest[at+1:]}
	if a.Kind != KindModel && a.Kind != KindAdapter {
		return Artifact{}, fmt.Errorf("artifact %q has the unknown kind %q", s, kind)
	}
	return a, nil
}
