package config

import (
	"fmt"
	"reflect"
	"slices"
)

// reloadable lists the elements whose changes a running gateway can apply.
var reloadable = []string{"model", "rule", "session", "prefix"}

// CheckReload returns nil if a and b differ at most in the elements whose changes a running gateway can apply: models,
// rules, sessions and prefixes. Otherwise the error names the first other element that differs.
func CheckReload(a, b *Settings) error {
	x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range x.NumField() {
		tag, ok := parseTag(x.Type().Field(i))
		if !ok || slices.Contains(reloadable, tag.name) {
			continue
		}
		if !equalValues(x.Field(i), y.Field(i)) {
			return fmt.Errorf("<%s> has changed; restart the gateway to apply the change", tag.name)
		}
	}
	return nil
}

// equalValues reports whether two values are deeply equal. It ignores the positions of elements.
func equalValues(a, b reflect.Value) bool {
	switch a.Kind() {
	case reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			return a.IsNil() == b.IsNil()
		}
		return equalValues(a.Elem(), b.Elem())
	case reflect.Slice:
		if a.Len() != b.Len() {
			return false
		}
		for i := range a.Len() {
			if !equalValues(a.Index(i), b.Index(i)) {
				return false
			}
		}
		return true
	case reflect.Struct:
		if a.Type() == reflect.TypeFor[Pos]() {
			return true
		}
		for i := range a.NumField() {
			if !equalValues(a.Field(i), b.Field(i)) {
				return false
			}
		}
		return true
	default:
		return a.Equal(b)
	}
}
