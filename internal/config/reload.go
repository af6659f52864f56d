package config

import (
	"fmt"
	"reflect"
	"slices"
)

// reloadable are the elements that a running gateway can take anew.
var reloadable = []string{"model", "rule", "session", "prefix"}

// CheckReload returns an error unless two settings differ only in what a running gateway can take: models, rules,
// sessions and prefixes. The error names the first element that differs elsewhere.
func CheckReload(a, b *Settings) error {
	x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range x.NumField() {
		tag, ok := parseTag(x.Type().Field(i))
		if !ok || slices.Contains(reloadable, tag.name) {
			continue
		}
		if !equalValues(x.Field(i), y.Field(i)) {
			return fmt.Errorf("<%s> differs; it takes effect only at a restart", tag.name)
		}
	}
	return nil
}

// equalValues compares values but for their places in the file.
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
