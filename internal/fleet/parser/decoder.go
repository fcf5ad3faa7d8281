package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"bamboospread/internal/fleet/finder"
)

// decoder walks the nodes of a text. It continues after an error, so that one pass
// finds all errors.
type decoder struct {
	findings  *finder.Finder
	positions map[string]finder.Position
}

// field decodes the value of one key.
type field func(n ast.Node, path string)

func (d *decoder) add(n ast.Node, path, format string, args ...any) {
	d.findings.Add(positionOf(n), path, format, args...)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// object decodes a mapping with the keys of fields. Unknown and duplicate keys are
// findings.
func (d *decoder) object(n ast.Node, path string, fields map[string]field) {
	values, ok := mappingValues(n)
	if !ok {
		d.add(n, path, "want keys with values, not %s", describeNode(n))
		return
	}
	seen := make(map[string]bool)
	for _, v := range values {
		key := v.Key.GetToken().Value
		at := join(path, key)
		read, known := fields[key]
		switch {
		case !known:
			d.add(v, at, "unknown key; known are %s", strings.Join(keysOf(fields), ", "))
		case seen[key]:
			d.add(v, at, "the key is given twice")
		case v.Value == nil || v.Value.Type() == ast.NullType:
			d.add(v, at, "the value is missing")
		default:
			seen[key] = true
			d.positions[at] = positionOf(v.Value)
			read(v.Value, at)
		}
	}
}

func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch v := n.(type) {
	case *ast.MappingNode:
		return v.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{v}, true
	}
	return nil, false
}

func keysOf(fields map[string]field) []string {
	keys := make([]string, 0, len(fields))
	for k := range fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// list decodes a sequence by calling read for each item.
func (d *decoder) list(n ast.Node, path string, read field) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.add(n, path, "want a list, not %s", describeNode(n))
		return
	}
	if len(seq.Values) > MaxItems {
		d.add(n, path, "the list has %d items, more than the limit of %d", len(seq.Values), MaxItems)
		return
	}
	for i, v := range seq.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		if v == nil || v.Type() == ast.NullType {
			d.add(n, at, "the item is missing")
			continue
		}
		d.positions[at] = positionOf(v)
		read(v, at)
	}
}

func (d *decoder) text(out *string) field {
	return func(n ast.Node, path string) {
		s, ok := n.(*ast.StringNode)
		if !ok {
			d.add(n, path, "want a string, not %s; put the value in quotes if it is a string", describeNode(n))
			return
		}
		*out = s.Value
	}
}

func (d *decoder) boolean(out *bool) field {
	return func(n ast.Node, path string) {
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.add(n, path, "want true or false, not %s", describeNode(n))
			return
		}
		*out = b.Value
	}
}

func (d *decoder) number(out *float64) field {
	return func(n ast.Node, path string) {
		v, err := strconv.ParseFloat(scalar(n), 64)
		if err != nil {
			d.add(n, path, "want a number, not %s", describeNode(n))
			return
		}
		*out = v
	}
}

func (d *decoder) integer(out *int) field {
	return func(n ast.Node, path string) {
		v, err := strconv.Atoi(scalar(n))
		if err != nil {
			d.add(n, path, "want a whole number, not %s", describeNode(n))
			return
		}
		*out = v
	}
}

func (d *decoder) duration(out *time.Duration) field {
	return func(n ast.Node, path string) {
		v, err := time.ParseDuration(scalar(n))
		if err != nil {
			d.add(n, path, "want a duration such as 200ms, 90s or 1h30m, not %s", describeNode(n))
			return
		}
		*out = v
	}
}

// scalar returns the literal text of a scalar. Other nodes give an empty string,
// which no caller accepts.
func scalar(n ast.Node) string {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value
	case *ast.IntegerNode, *ast.FloatNode:
		return v.GetToken().Value
	}
	return ""
}

func describeNode(n ast.Node) string {
	switch v := n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "keys with values"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "nothing"
	case *ast.LiteralNode:
		return "a block of text"
	default:
		return strconv.Quote(shorten(v.GetToken().Value))
	}
}

func shorten(s string) string {
	const limit = 40
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}
