// Package settings loads the settings file of a process: JSON with comments,
// checked before any port is opened. Every problem names its file, line and field.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// Problem is one thing wrong with a file.
type Problem struct {
	File    string
	Line    int // counts from 1; 0 when the file as a whole is meant
	Field   string
	Message string
}

// String formats the problem as file:line: field: message.
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field == "" {
		return where + ": " + p.Message
	}
	return fmt.Sprintf("%s: field %q: %s", where, p.Field, p.Message)
}

// Error lists everything wrong with a file.
type Error struct {
	Problems []Problem
}

// Error formats one problem a line.
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

// Decode decodes JSON with comments into target and checks its validate tags.
// file is used in messages only. Any error is of type *Error.
func Decode(file string, raw []byte, target any) error {
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return &Error{Problems: []Problem{{File: file, Message: err.Error()}}}
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return &Error{Problems: []Problem{decodeProblem(file, standard, dec, err)}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &Error{Problems: []Problem{{File: file, Line: lineAt(standard, dec.InputOffset()), Message: "more than one JSON value"}}}
	}
	return check(file, standard, target)
}

func decodeProblem(file string, text []byte, dec *json.Decoder, err error) Problem {
	p := Problem{File: file, Line: lineAt(text, dec.InputOffset()), Message: err.Error()}
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		p.Line = lineAt(text, wrongType.Offset)
		p.Field = wrongType.Field
		p.Message = fmt.Sprintf("want %s, have %s", wrongType.Type, wrongType.Value)
	case errors.As(err, &syntax):
		p.Line = lineAt(text, syntax.Offset)
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		p.Field = strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		p.Line = lineOfKey(text, p.Field)
		p.Message = "unknown field"
	}
	return p
}

func check(file string, text []byte, target any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		return &Error{Problems: []Problem{{File: file, Message: err.Error()}}}
	}
	err := v.Struct(target)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return &Error{Problems: []Problem{{File: file, Message: err.Error()}}}
	}
	out := &Error{}
	for _, f := range invalid {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		out.Problems = append(out.Problems, Problem{
			File:    file,
			Line:    lineOfKey(text, f.Field()),
			Field:   path,
			Message: describe(f),
		})
	}
	return out
}

func isIPPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

func describe(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "missing"
	case "ip_port":
		return fmt.Sprintf("%q is not an address of the form IP:port", f.Value())
	default:
		return fmt.Sprintf("%v breaks the rule %s=%s", f.Value(), f.Tag(), f.Param())
	}
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// lineOfKey returns the line of the first object key with this name, or the
// last line of the text when the key is absent.
func lineOfKey(text []byte, key string) int {
	i := bytes.Index(text, []byte(`"`+key+`"`))
	if i < 0 {
		i = len(bytes.TrimRight(text, "\n"))
	}
	return lineAt(text, int64(i))
}
