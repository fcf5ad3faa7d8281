// Package decoder decodes records of the store whole or not at all.
//
// encoding/json takes a field that is missing or null for its zero value, and a name in other letters for the
// field's own. A record of another writer that lacks a field would replace what is known by nothing.
package decoder

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// ErrField is a field that is missing from a record or can't be right.
type ErrField struct {
	Field   string // such as "open[2].number"; "": the record itself
	Problem string
}

func (e ErrField) Error() string {
	if e.Field == "" {
		return "record: " + e.Problem
	}
	return "field " + e.Field + ": " + e.Problem
}

// Decode decodes a record in JSON. Its writer always states the fields whose tags do not say omitempty, so one that
// is missing or null is an error, as is an array of another length or a name in other letters. The error is an
// ErrField. Where a writer encodes an empty slice or map as null, null is read as empty; null for a field that may be
// missing counts as missing.
func Decode[T any](value []byte) (T, error) {
	var v, none T
	if err := json.Unmarshal(value, &v); err != nil {
		e := ErrField{Problem: err.Error()}
		if t, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
			e.Field = t.Field
		}
		return none, e
	}
	var stated any
	if err := json.Unmarshal(value, &stated); err != nil {
		return none, ErrField{Problem: err.Error()}
	}
	if stated == nil {
		return none, ErrField{Problem: "null"}
	}
	if err := check(reflect.TypeFor[T](), stated, ""); err != nil {
		return none, err
	}
	return v, nil
}

// check returns an error if a decoded value lacks a part of a type. field is its name.
func check(t reflect.Type, stated any, field string) error {
	if t == reflect.TypeFor[json.RawMessage]() { // decoded by the caller
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return check(t.Elem(), stated, field)
	case reflect.Struct:
		if object, ok := stated.(map[string]any); ok {
			return checkObject(t, object, field)
		}
	case reflect.Map:
		return checkMap(t, stated, field)
	case reflect.Slice, reflect.Array:
		return checkList(t, stated, field)
	default:
	}
	if stated == nil {
		return ErrField{field, "null"}
	}
	return nil
}

func checkObject(t reflect.Type, object map[string]any, field string) error {
	known := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known = append(known, name)
		inner := strings.TrimPrefix(field+"."+name, ".")
		optional := strings.Contains(options, "omitempty")
		part, ok := object[name]
		switch {
		case part == nil && optional:
		case !ok:
			return ErrField{inner, "missing"}
		default:
			if err := check(t.Field(i).Type, part, inner); err != nil {
				return err
			}
		}
	}
	for name := range object {
		for _, k := range known {
			if name != k && strings.EqualFold(name, k) {
				return ErrField{strings.TrimPrefix(field+"."+k, "."), fmt.Sprintf("%.100q is another name", name)}
			}
		}
	}
	return nil
}

func checkMap(t reflect.Type, stated any, field string) error {
	object, _ := stated.(map[string]any)
	for _, key := range slices.Sorted(maps.Keys(object)) {
		if err := check(t.Elem(), object[key], fmt.Sprintf("%s[%.100q]", field, key)); err != nil {
			return err
		}
	}
	return nil
}

func checkList(t reflect.Type, stated any, field string) error {
	list, ok := stated.([]any)
	if t.Kind() == reflect.Array && (!ok || len(list) != t.Len()) {
		return ErrField{field, fmt.Sprintf("is no list of %d", t.Len())}
	}
	for i, part := range list {
		if err := check(t.Elem(), part, field+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return nil
}
