// Package parser reads a fleet text (YAML) into a describer.Config. Faults of
// form, such as unknown keys and wrong types, are collected with their places;
// faults of meaning are left to package validator.
package parser

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/finder"
)

// Limits of a fleet text.
const (
	MaxTextBytes = 512 << 10
	MaxTokens    = 100_000
	MaxDepth     = 12   // of nested lists and mappings
	MaxItems     = 2000 // of one list
)

// Result is what was read, with the place of each path for later findings.
type Result struct {
	Config describer.Config
	places map[string]finder.Place
}

// Place returns the place of a path, or that of its nearest parent that stands
// in the text.
func (r Result) Place(path string) finder.Place {
	for path != "" {
		if p, ok := r.places[path]; ok {
			return p
		}
		path = parent(path)
	}
	return r.places[""]
}

// Has tells whether the path stands in the text.
func (r Result) Has(path string) bool {
	_, ok := r.places[path]
	return ok
}

func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// Parse reads text. Faults go to found; the Result holds what could be read.
func Parse(text []byte, found *finder.Finder) Result {
	d := &decoder{found: found, places: map[string]finder.Place{"": {Line: 1, Column: 1}}}
	result := Result{places: d.places}
	root := d.root(text)
	if root != nil {
		result.Config = d.fleet(root)
	}
	return result
}

// root returns the node of the one document in text, or nil with a finding.
func (d *decoder) root(text []byte) (node ast.Node) {
	if len(text) > MaxTextBytes {
		d.found.Add(finder.Place{Line: 1, Column: 1}, "", "the text has %d bytes, more than the limit of %d", len(text), MaxTextBytes)
		return nil
	}
	// The library has panicked on broken texts before. An operator's text must
	// not end a process that serves requests, so a panic becomes a finding.
	defer func() {
		if p := recover(); p != nil {
			d.found.Add(finder.Place{Line: 1, Column: 1}, "", "the text is not YAML that can be read: %v", p)
			node = nil
		}
	}()
	tokens := lexer.Tokenize(string(text))
	if !d.checkTokens(tokens) {
		return nil
	}
	file, err := yamlparser.Parse(tokens, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return nil
	}
	return d.document(file)
}

func (d *decoder) document(file *ast.File) ast.Node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		d.found.Add(finder.Place{Line: 1, Column: 1}, "", "the text is empty")
		return nil
	case 1:
		return bodies[0]
	}
	d.found.Add(placeOf(bodies[1]), "", "the text holds more than one document")
	return nil
}

// forbidden are the parts of YAML that a fleet text does not need. Aliases
// repeat their anchor, so that a few lines unfold to gigabytes; the rest could
// only hide a mistake.
var forbidden = map[token.Type]string{
	token.AnchorType:     "anchors, aliases and merge keys are not allowed; write the value out",
	token.AliasType:      "anchors, aliases and merge keys are not allowed; write the value out",
	token.MergeKeyType:   "anchors, aliases and merge keys are not allowed; write the value out",
	token.TagType:        "tags and directives are not allowed",
	token.DirectiveType:  "tags and directives are not allowed",
	token.MappingKeyType: "keys that are not plain words are not allowed",
}

// checkTokens refuses what could make a small text large or slow to read. It is
// seen in the tokens, before anything is built from them.
func (d *decoder) checkTokens(tokens token.Tokens) bool {
	if len(tokens) > MaxTokens {
		d.found.Add(finder.Place{Line: 1, Column: 1}, "", "the text has more than %d parts", MaxTokens)
		return false
	}
	fine := true
	var n nesting
	for _, t := range tokens {
		if why, ok := forbidden[t.Type]; ok {
			d.found.Add(placeOfToken(t), "", "%s", why)
			fine = false
		}
		if t.Type == token.InvalidType {
			d.found.Add(placeOfToken(t), "", "this can't be read: %s", t.Error)
			fine = false
		}
		if n.add(t) > MaxDepth {
			// The reader recurses; deep nesting would cost its stack.
			d.found.Add(placeOfToken(t), "", "lists and mappings are nested more than %d deep", MaxDepth)
			return false
		}
	}
	return fine
}

// nesting counts how deep lists and mappings are nested: by brackets, and by
// the columns of keys and dashes outside of brackets.
type nesting struct {
	brackets int
	columns  []int
}

func (n *nesting) add(t *token.Token) int {
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		n.brackets++
	case token.MappingEndType, token.SequenceEndType:
		n.brackets--
	case token.SequenceEntryType:
		n.block(t)
	case token.MappingValueType:
		if t.Prev != nil {
			n.block(t.Prev) // the key
		}
	}
	return n.brackets + len(n.columns)
}

func (n *nesting) block(t *token.Token) {
	if n.brackets > 0 || t.Position == nil {
		return
	}
	column := t.Position.Column
	for len(n.columns) > 0 && n.columns[len(n.columns)-1] > column {
		n.columns = n.columns[:len(n.columns)-1]
	}
	if len(n.columns) == 0 || n.columns[len(n.columns)-1] < column {
		n.columns = append(n.columns, column)
	}
}

func (d *decoder) addSyntaxError(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		d.found.Add(placeOfToken(syntax.Token), "", "%s", syntax.Message)
		return
	}
	d.found.Add(finder.Place{Line: 1, Column: 1}, "", "the text is not YAML that can be read: %v", err)
}

func placeOf(n ast.Node) finder.Place { return placeOfToken(firstToken(n)) }

// firstToken returns the token at which a node begins; that of a mapping is its
// first colon, so its first key is taken.
func firstToken(n ast.Node) *token.Token {
	switch v := n.(type) {
	case *ast.MappingNode:
		if !v.IsFlowStyle && len(v.Values) > 0 {
			return firstToken(v.Values[0])
		}
	case *ast.MappingValueNode:
		return v.Key.GetToken()
	}
	return n.GetToken()
}

func placeOfToken(t *token.Token) finder.Place {
	if t == nil || t.Position == nil {
		return finder.Place{Line: 1, Column: 1}
	}
	return finder.Place{Line: max(t.Position.Line, 1), Column: max(t.Position.Column, 1)}
}
