// Package strictyaml decodes YAML files into structs. It rejects unknown keys, for which it lists the valid ones, and
// reports each problem with its file and line. Problems of a field also name the field; syntax errors and values of a
// wrong type are reported with the message of the YAML library.
package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is one error in a file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1. It is 0 if the values were not read from a file.
	Line int `json:"line"`
	// Field is the path of the field, for example presets[0].classes[1].tier. It is empty for errors of YAML
	// parsing and decoding, including values of a wrong type, and for an empty file.
	Field string `json:"field"`
	// Message states what is wrong. For an unknown key it also lists the valid keys.
	Message string `json:"message"`
}

// Error implements error.
func (p Problem) Error() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// Problems is the list of errors found in a file.
type Problems []Problem

// Error implements error. It puts each problem on its own line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed file. Checks after decoding use it to report problems with the line of the field.
type Document struct {
	File     string
	root     *yaml.Node
	problems Problems
}

// Decode decodes raw into the struct that into points to. file is the name for error messages. The error
// is a Problems.
func Decode(file string, raw []byte, into any) (*Document, error) {
	d := &Document{File: file, root: &yaml.Node{}}
	if err := yaml.Unmarshal(raw, d.root); err != nil {
		d.addYAMLErrors(err)
		return d, d.Err()
	}
	if len(d.root.Content) == 0 {
		d.problems = append(d.problems, Problem{File: file, Line: 1, Message: "the file is empty"})
		return d, d.Err()
	}
	d.checkKeys(d.root.Content[0], reflect.TypeOf(into).Elem(), "")
	if err := d.root.Decode(into); err != nil {
		d.addYAMLErrors(err)
	}
	return d, d.Err()
}

// Err returns the problems recorded so far as a Problems sorted by line, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return d.problems
}

// AddProblemf records a problem of a field. Its line is that of the field, or of the closest parent in the file.
func (d *Document) AddProblemf(field, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.File, Line: d.Line(field), Field: field, Message: fmt.Sprintf(format, args...)})
}

// pathStep matches one element of a field path: a key or an index.
var pathStep = regexp.MustCompile(`[^.\[\]]+`)

// Line returns the line of a field, counting from 1, or the line of the closest parent in the file.
func (d *Document) Line(field string) int {
	if d.root == nil || len(d.root.Content) == 0 {
		return 1
	}
	node := d.root.Content[0]
	line := node.Line
	for _, step := range pathStep.FindAllString(field, -1) {
		next, at := childNode(node, step)
		if next == nil {
			return line
		}
		node, line = next, at
	}
	return line
}

// childNode returns the value at a key or index of node and the line to report for it, or nil if it is absent.
func childNode(node *yaml.Node, step string) (*yaml.Node, int) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				return node.Content[i+1], node.Content[i].Line
			}
		}
	case yaml.SequenceNode:
		n, err := strconv.Atoi(step)
		if err == nil && n < len(node.Content) {
			return node.Content[n], node.Content[n].Line
		}
	}
	return nil, 0
}

var (
	nodeType        = reflect.TypeOf(yaml.Node{})
	unmarshalerType = reflect.TypeOf((*yaml.Unmarshaler)(nil)).Elem()
)

// checkKeys reports the keys of node that the struct type t does not have, and descends into the values of struct
// fields and into slices. A key is known only if a field has it as the name in its yaml tag, so the keys of inlined
// structs are reported as unknown. Maps, aliases and types with their own decoding are skipped. Duplicate keys are
// rejected by the YAML decoder.
func (d *Document) checkKeys(node *yaml.Node, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nodeType || reflect.PointerTo(t).Implements(unmarshalerType) {
		return
	}
	switch {
	case t.Kind() == reflect.Struct && node.Kind == yaml.MappingNode:
		d.checkStruct(node, t, path)
	case t.Kind() == reflect.Slice && node.Kind == yaml.SequenceNode:
		for i, item := range node.Content {
			d.checkKeys(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

func (d *Document) checkStruct(node *yaml.Node, t reflect.Type, path string) {
	fields := map[string]reflect.Type{}
	var valid []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
			valid = append(valid, name)
		}
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field := strings.TrimPrefix(path+"."+key.Value, ".")
		ft, ok := fields[key.Value]
		if !ok {
			d.problems = append(d.problems, Problem{File: d.File, Line: key.Line, Field: field,
				Message: fmt.Sprintf("unknown key %q; valid keys: %s", key.Value, strings.Join(valid, ", "))})
			continue
		}
		d.checkKeys(node.Content[i+1], ft, field)
	}
}

// yamlLine matches the line number at the start of the YAML library's messages.
var yamlLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

func (d *Document) addYAMLErrors(err error) {
	messages := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		messages = typeErr.Errors
	}
	for _, m := range messages {
		p := Problem{File: d.File, Line: 1, Message: m}
		if found := yamlLine.FindStringSubmatch(m); found != nil {
			p.Line, _ = strconv.Atoi(found[1])
			p.Message = found[2]
		}
		d.problems = append(d.problems, p)
	}
}
