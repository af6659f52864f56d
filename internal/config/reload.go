package config

import (
	"fmt"
	"reflect"
	"slices"
)

// reloadableElements lists the elements whose changes a running gateway can apply.
var reloadableElements = []string{"model", "rule", "session", "prefix"}

// CheckReload returns nil if the two settings differ at most in the elements whose changes a running gateway can apply:
// models, rules, sessions and prefixes. Otherwise the error names the first other element that differs.
func CheckReload(oldSettings, newSettings *Settings) error {
	oldValue, newValue := reflect.ValueOf(*oldSettings), reflect.ValueOf(*newSettings)
	for i := range oldValue.NumField() {
		tag, ok := parseTag(oldValue.Type().Field(i))
		if !ok || slices.Contains(reloadableElements, tag.name) {
			continue
		}
		if !equalValues(oldValue.Field(i), newValue.Field(i)) {
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
