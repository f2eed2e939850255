// Package settings loads the settings file of a process, which is JSON with
// comments. It is checked before any port is opened. Every problem names its
// file, line and field.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// Problem is one problem in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // counts from 1; 0 if the problem concerns the whole file
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
	Fatal   bool   `json:"fatal,omitempty"` // the rest of the file could not be checked
}

// String formats the problem as file:line: field: message (remedy).
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	text := p.Message
	if p.Field != "" {
		text = fmt.Sprintf("field %q: %s", p.Field, p.Message)
	}
	if p.Remedy != "" {
		text += " (" + p.Remedy + ")"
	}
	return where + ": " + text
}

// Error lists all problems of a file.
type Error struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads, decodes and checks the settings file at path. Any error is of
// type *Error.
func Load[S any](path string) (S, error) {
	var s S
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, &Error{Problems: []Problem{{File: path, Message: err.Error()}}}
	}
	err = Decode(path, raw, &s)
	return s, err
}

// Decode decodes JSON with comments into target and checks its validate tags. It
// reports all unknown and repeated keys and all violated rules together, but only
// the first problem if the text cannot be decoded. file is used in messages only.
// Any error is of type *Error.
func Decode(file string, raw []byte, target any) error {
	text, err := standardize(raw)
	if err != nil {
		return &Error{Problems: []Problem{{File: file, Line: syntaxLine(err), Message: err.Error(), Remedy: "correct the syntax", Fatal: true}}}
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(target); err != nil {
		return &Error{Problems: []Problem{decodeProblem(file, text, dec, err)}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		line := lineAt(text, dec.InputOffset())
		return &Error{Problems: []Problem{{File: file, Line: line, Message: "more than one JSON value", Remedy: "keep one", Fatal: true}}}
	}
	return check(file, text, target)
}

// standardize blanks out comments and trailing commas, which keeps byte offsets.
func standardize(raw []byte) ([]byte, error) {
	if err := checkDepth(raw); err != nil {
		return nil, err
	}
	return hujson.Standardize(bytes.Clone(raw))
}

// syntaxLine returns the line that a hujson error names, or 0 if there is none.
func syntaxLine(err error) int {
	var line int
	if _, scan := fmt.Sscanf(err.Error(), "hujson: line %d,", &line); scan != nil {
		return 0
	}
	return line
}

func decodeProblem(file string, text []byte, dec *json.Decoder, err error) Problem {
	p := Problem{File: file, Line: lineAt(text, dec.InputOffset()), Message: err.Error(), Fatal: true}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		p.Line = lineAt(text, wrongType.Offset)
		p.Field = wrongType.Field
		p.Message = fmt.Sprintf("want %s, have %s", wrongType.Type, wrongType.Value)
		p.Remedy = fmt.Sprintf("give a value of type %s", wrongType.Type)
	}
	return p
}

func check(file string, text []byte, target any) error {
	root := positions(text)
	if root == nil {
		return &Error{Problems: []Problem{{File: file, Message: "cannot be read", Fatal: true}}}
	}
	problems := keyProblems(file, text, root, reflect.TypeOf(target), "")
	broken, err := validateTags(file, target)
	if err != nil {
		return &Error{Problems: []Problem{{File: file, Message: err.Error(), Fatal: true}}}
	}
	locate(text, root, broken)
	problems = append(problems, broken...)
	if len(problems) == 0 {
		return nil
	}
	return &Error{Problems: problems}
}

// validateTags returns a problem for each violated validate tag of target.
func validateTags(file string, target any) ([]Problem, error) {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(fieldName)
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		return nil, err
	}
	err := v.Struct(target)
	if err == nil {
		return nil, nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil, err
	}
	var out []Problem
	for _, f := range invalid {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		p := Problem{File: file, Field: path}
		p.Message, p.Remedy = describe(f)
		out = append(out, p)
	}
	return out, nil
}

// isIPPort implements the rule ip_port: an IP address and a port.
func isIPPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

// describe returns the message and the remedy for an invalid field.
func describe(f validator.FieldError) (message, remedy string) {
	switch f.Tag() {
	case "required":
		return "missing", "add it"
	case "ip_port":
		return fmt.Sprintf("%q is not an address of the form IP:port", f.Value()), "give an address such as 10.0.0.7:8080"
	case "file":
		return fmt.Sprintf("%q cannot be read as a file", f.Value()), "give the path of a readable file"
	case "url":
		return fmt.Sprintf("%q is not a URL", f.Value()), "give a URL such as http://10.0.0.9:8000"
	default:
		return fmt.Sprintf("%v breaks the rule %s=%s", f.Value(), f.Tag(), f.Param()), "give a value that keeps the rule"
	}
}

// lineAt returns the line of an offset, counting from 1.
func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
