package contract

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// yamlErrorLine matches the errors of the YAML library, which begin with the line.
var yamlErrorLine = regexp.MustCompile(`^line (\d+): (.*)$`)

// DecodeStrict decodes a YAML node into v, a pointer to a struct, refusing
// unknown keys. It returns every problem with its line and key.
func DecodeStrict(node *yaml.Node, v any) []Problem {
	var list []Problem
	root := node
	if root.Kind == yaml.DocumentNode && len(root.Content) > 0 {
		root = root.Content[0]
	}
	for _, p := range yamlProblems(node.Decode(v)) {
		p.key = pathAt(root, p.line, "")
		list = append(list, p)
	}
	return append(list, unknownKeys(root, reflect.TypeOf(v), "")...)
}

// unknownKeys returns a problem for each key of a node that has no field in t, the type
// into which the node is decoded. The YAML library refuses unknown keys only when it
// decodes text instead of a node, and then does not report the path of the key.
func unknownKeys(node *yaml.Node, t reflect.Type, path string) []Problem {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	var list []Problem
	switch {
	case t == nodeType:
		return nil // A raw node is decoded later, by code that knows its keys.
	case reflect.PointerTo(t).Implements(unmarshalerType) || reflect.PointerTo(t).Implements(textUnmarshalerType):
		return nil
	case t.Kind() == reflect.Slice && node.Kind == yaml.SequenceNode:
		for i, element := range node.Content {
			list = append(list, unknownKeys(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case t.Kind() == reflect.Map && node.Kind == yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			list = append(list, unknownKeys(node.Content[i+1], t.Elem(), joinPath(path, node.Content[i].Value))...)
		}
	case t.Kind() == reflect.Struct && node.Kind == yaml.MappingNode:
		fields := fieldsOf(t)
		for i := 0; i+1 < len(node.Content); i += 2 {
			key := joinPath(path, node.Content[i].Value)
			field, ok := fields[node.Content[i].Value]
			if !ok {
				list = append(list, Problem{line: node.Content[i].Line, key: key, text: "unknown key"})
				continue
			}
			list = append(list, unknownKeys(node.Content[i+1], field, key)...)
		}
	}
	return list
}

var (
	nodeType            = reflect.TypeFor[yaml.Node]()
	unmarshalerType     = reflect.TypeFor[yaml.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// fieldsOf returns the types of a struct's fields by their YAML keys.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for f := range t.Fields() {
		if !f.IsExported() {
			continue
		}
		name, flags, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		switch {
		case name == "-":
		case strings.Contains(flags, "inline") && f.Type.Kind() == reflect.Struct:
			maps.Copy(fields, fieldsOf(f.Type))
		case name == "":
			fields[strings.ToLower(f.Name)] = f.Type
		default:
			fields[name] = f.Type
		}
	}
	return fields
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// pathAt returns the path of the innermost value that starts on a line.
func pathAt(node *yaml.Node, line int, path string) string {
	found := ""
	if node.Line == line && node.Kind == yaml.ScalarNode {
		found = path
	}
	for i, child := range node.Content {
		childPath := ""
		switch {
		case node.Kind == yaml.SequenceNode:
			childPath = pathAt(child, line, fmt.Sprintf("%s[%d]", path, i))
		case node.Kind == yaml.MappingNode && i%2 == 1:
			childPath = pathAt(child, line, joinPath(path, node.Content[i-1].Value))
			if childPath == "" && node.Content[i-1].Line == line {
				childPath = joinPath(path, node.Content[i-1].Value)
			}
		}
		if childPath != "" && found == "" {
			found = childPath
		}
	}
	return found
}

// yamlProblems splits an error of the YAML library into one problem for each
// value that it could not decode.
func yamlProblems(err error) []Problem {
	if err == nil {
		return nil
	}
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return []Problem{{text: err.Error()}}
	}
	var list []Problem
	for _, text := range typeError.Errors {
		p := Problem{text: text}
		if m := yamlErrorLine.FindStringSubmatch(text); m != nil {
			p.line, _ = strconv.Atoi(m[1])
			p.text = m[2]
		}
		list = append(list, p)
	}
	return list
}

func hasKey(node *yaml.Node, key string) bool {
	return valueOf(node, key) != nil
}

// lineOf returns the line of a key path such as "services[1].floor". If the path
// is not in the document, it returns the line of the innermost parent that is, or
// 0.
func lineOf(node *yaml.Node, path string) int {
	line := 0
	current := node
	for _, part := range strings.Split(path, ".") {
		name, index, _ := strings.Cut(part, "[")
		next := valueOf(current, name)
		if next == nil {
			break
		}
		line = next.Line
		current = next
		if index == "" {
			continue
		}
		var i int
		if _, err := fmt.Sscanf(index, "%d]", &i); err != nil || i >= len(current.Content) {
			break
		}
		current = current.Content[i]
		line = current.Line
	}
	return line
}

// valueOf returns the value of a key in a mapping, or nil.
func valueOf(node *yaml.Node, key string) *yaml.Node {
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}
