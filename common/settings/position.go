package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// maxDepth is the deepest nesting that is accepted in a file; the decoder of the
// standard library rejects deeper values as well.
const maxDepth = 1000

// position is a JSON value with its offset in the text.
type position struct {
	offset   int64 // of the key for a member, of the value for an element
	members  map[string]*position
	elements []*position
	repeated []repeatedKey
}

// repeatedKey is a key that occurs a second time in one object.
type repeatedKey struct {
	name   string
	offset int64
}

// positions returns the position of the root value of JSON text, or nil if the
// text is invalid.
func positions(text []byte) *position {
	w := &walker{text: text, dec: json.NewDecoder(bytes.NewReader(text))}
	root, err := w.value(w.nextOffset(), 0)
	if err != nil {
		return nil
	}
	return root
}

// walker builds positions from the tokens of a decoder.
type walker struct {
	text []byte
	dec  *json.Decoder
}

// nextOffset returns the offset at which the next token begins.
func (w *walker) nextOffset() int64 {
	at := w.dec.InputOffset()
	for at < int64(len(w.text)) && strings.IndexByte(" \t\r\n,:", w.text[at]) >= 0 {
		at++
	}
	return at
}

func (w *walker) value(offset int64, depth int) (*position, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested deeper than %d", maxDepth)
	}
	p := &position{offset: offset}
	token, err := w.dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		err = w.object(p, depth)
	case json.Delim('['):
		err = w.array(p, depth)
	}
	return p, err
}

func (w *walker) object(p *position, depth int) error {
	p.members = map[string]*position{}
	for w.dec.More() {
		at := w.nextOffset()
		key, err := w.dec.Token()
		if err != nil {
			return err
		}
		member, err := w.value(at, depth+1)
		if err != nil {
			return err
		}
		name, _ := key.(string)
		if p.members[name] != nil {
			p.repeated = append(p.repeated, repeatedKey{name: name, offset: at})
		}
		p.members[name] = member
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) array(p *position, depth int) error {
	for w.dec.More() {
		element, err := w.value(w.nextOffset(), depth+1)
		if err != nil {
			return err
		}
		p.elements = append(p.elements, element)
	}
	_, err := w.dec.Token()
	return err
}

// find returns the position of a path such as pools[1].name. Steps of the path
// that the text lacks are skipped, so that a missing key has the position of the
// object that lacks it.
func (p *position) find(path string) *position {
	at := p
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		if member := at.members[step]; member != nil {
			at = member
			continue
		}
		if i, err := strconv.Atoi(step); err == nil && i >= 0 && i < len(at.elements) {
			at = at.elements[i]
		}
	}
	return at
}

// Locate sets the Line of each problem without one to the line of its Field in
// text, which is JSON with comments.
func Locate(text []byte, problems []Problem) {
	if len(problems) == 0 {
		return
	}
	standard, err := standardize(text)
	if err != nil {
		return
	}
	locate(standard, positions(standard), problems)
}

func locate(text []byte, root *position, problems []Problem) {
	if root == nil {
		return
	}
	for i := range problems {
		if problems[i].Line == 0 {
			problems[i].Line = lineAt(text, root.find(problems[i].Field).offset)
		}
	}
}

// keyProblems returns a problem for every key that type t does not declare and
// every key that occurs twice in one object.
func keyProblems(file string, text []byte, p *position, t reflect.Type, path string) []Problem {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if p == nil || hasUnmarshaler(t) {
		return nil
	}
	var out []Problem
	add := func(offset int64, field, message, remedy string) {
		out = append(out, Problem{File: file, Line: lineAt(text, offset), Field: field, Message: message, Remedy: remedy})
	}
	for _, key := range p.repeated {
		add(key.offset, join(path, key.name), "occurs twice in one object", "remove one of the two")
	}
	switch t.Kind() {
	case reflect.Struct:
		known := fieldTypes(t)
		for _, name := range sortedKeys(p.members) {
			field, ok := known[name]
			if !ok {
				add(p.members[name].offset, join(path, name), "unknown field", "remove it or correct its name")
				continue
			}
			out = append(out, keyProblems(file, text, p.members[name], field, join(path, name))...)
		}
	case reflect.Slice, reflect.Array:
		for i, element := range p.elements {
			out = append(out, keyProblems(file, text, element, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Map:
		for _, name := range sortedKeys(p.members) {
			out = append(out, keyProblems(file, text, p.members[name], t.Elem(), join(path, name))...)
		}
	}
	return out
}

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// hasUnmarshaler reports whether t decodes its JSON with a custom method.
func hasUnmarshaler(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler)
}

// fieldTypes returns the JSON fields of a struct, embedded structs included.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name := fieldName(f)
		if !f.IsExported() || name == "-" {
			continue
		}
		if f.Anonymous && f.Tag.Get("json") == "" {
			continue
		}
		out[name] = f.Type
	}
	return out
}

// fieldName returns the name of a struct field in JSON.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
