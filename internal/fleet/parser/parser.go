// Package parser reads a fleet text (YAML) into a describer.Config. It collects
// syntax errors, unknown keys and wrong types with their positions; package
// validator checks the values.
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
	MaxDepth     = 12   // nesting of lists and mappings
	MaxItems     = 2000 // in one list
)

// Result is the parsed config with the position of each path, for later findings.
type Result struct {
	Config    describer.Config
	positions map[string]finder.Position
}

// Position returns the position of a path, or of its nearest parent in the text.
func (r Result) Position(path string) finder.Position {
	for path != "" {
		if p, ok := r.positions[path]; ok {
			return p
		}
		path = parent(path)
	}
	return r.positions[""]
}

// Has reports whether the text contains the path.
func (r Result) Has(path string) bool {
	_, ok := r.positions[path]
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

// Parse reads text and adds its errors to findings. The Result holds everything
// that could be read.
func Parse(text []byte, findings *finder.Finder) Result {
	d := &decoder{findings: findings, positions: map[string]finder.Position{"": {Line: 1, Column: 1}}}
	result := Result{positions: d.positions}
	root := d.root(text)
	if root != nil {
		result.Config = d.fleet(root)
	}
	return result
}

// root returns the node of the only document in text, or nil after adding a
// finding.
func (d *decoder) root(text []byte) (node ast.Node) {
	if len(text) > MaxTextBytes {
		d.findings.Add(finder.Position{Line: 1, Column: 1}, "", "the text has %d bytes, more than the limit of %d", len(text), MaxTextBytes)
		return nil
	}
	// The YAML library has panicked on malformed texts. An operator's text must not
	// crash a process that serves requests, so a panic becomes a finding.
	defer func() {
		if p := recover(); p != nil {
			d.findings.Add(finder.Position{Line: 1, Column: 1}, "", "the text is not valid YAML: %v", p)
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
		d.findings.Add(finder.Position{Line: 1, Column: 1}, "", "the text is empty")
		return nil
	case 1:
		return bodies[0]
	}
	d.findings.Add(positionOf(bodies[1]), "", "the text holds more than one document")
	return nil
}

// forbiddenTokens are the YAML features that a fleet text does not need. Aliases
// repeat their anchor, so a few lines can expand to gigabytes; the other features
// could only hide a mistake.
var forbiddenTokens = map[token.Type]string{
	token.AnchorType:     "anchors, aliases and merge keys are not allowed; write the value out",
	token.AliasType:      "anchors, aliases and merge keys are not allowed; write the value out",
	token.MergeKeyType:   "anchors, aliases and merge keys are not allowed; write the value out",
	token.TagType:        "tags and directives are not allowed",
	token.DirectiveType:  "tags and directives are not allowed",
	token.MappingKeyType: "keys that are not plain words are not allowed",
}

// checkTokens rejects constructs that let a small text expand or take long to parse.
// It checks the tokens before any node is built from them.
func (d *decoder) checkTokens(tokens token.Tokens) bool {
	if len(tokens) > MaxTokens {
		d.findings.Add(finder.Position{Line: 1, Column: 1}, "", "the text has more than %d tokens", MaxTokens)
		return false
	}
	valid := true
	var n nesting
	for _, t := range tokens {
		if reason, ok := forbiddenTokens[t.Type]; ok {
			d.findings.Add(tokenPosition(t), "", "%s", reason)
			valid = false
		}
		if t.Type == token.InvalidType {
			d.findings.Add(tokenPosition(t), "", "invalid YAML: %s", t.Error)
			valid = false
		}
		if n.add(t) > MaxDepth {
			// The YAML parser is recursive; deep nesting would exhaust its stack.
			d.findings.Add(tokenPosition(t), "", "lists and mappings are nested more than %d deep", MaxDepth)
			return false
		}
	}
	return valid
}

// nesting tracks the nesting depth of lists and mappings: by brackets, and
// outside of brackets by the columns of keys and dashes.
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
		n.trackColumn(t)
	case token.MappingValueType:
		if t.Prev != nil {
			n.trackColumn(t.Prev) // the key
		}
	}
	return n.brackets + len(n.columns)
}

func (n *nesting) trackColumn(t *token.Token) {
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
		d.findings.Add(tokenPosition(syntax.Token), "", "%s", syntax.Message)
		return
	}
	d.findings.Add(finder.Position{Line: 1, Column: 1}, "", "the text is not valid YAML: %v", err)
}

func positionOf(n ast.Node) finder.Position { return tokenPosition(firstToken(n)) }

// firstToken returns the token at which a node begins. The token of a mapping node
// is its first colon, so the token of its first key is returned instead.
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

func tokenPosition(t *token.Token) finder.Position {
	if t == nil || t.Position == nil {
		return finder.Position{Line: 1, Column: 1}
	}
	return finder.Position{Line: max(t.Position.Line, 1), Column: max(t.Position.Column, 1)}
}
