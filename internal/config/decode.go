package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// decoder fills structs from elements. It collects all problems instead of stopping at the first.
//
// A field of a struct is an attribute if its type is a scalar, and an element if its type is a pointer to a struct or a
// slice of structs. The tag `cfg` holds its name in the file, optionally followed by ",required" and, for strings,
// ",enum=a|b". A field of type Pos is set to the position of the element.
type decoder struct {
	file     string
	problems Problems
}

// addProblem implements Reporter.
func (d *decoder) addProblem(at Pos, fix, format string, args ...any) {
	d.problems = append(d.problems, Problem{d.file, at.Line, at.Column, fmt.Sprintf(format, args...), fix})
}

// fieldTag is a parsed `cfg` tag.
type fieldTag struct {
	name     string
	required bool
	enum     []string
}

// parseTag parses the `cfg` tag of a field; ok is false if the field has none.
func parseTag(f reflect.StructField) (t fieldTag, ok bool) {
	tag, ok := f.Tag.Lookup("cfg")
	parts := strings.Split(tag, ",")
	t.name = parts[0]
	for _, part := range parts[1:] {
		if part == "required" {
			t.required = true
		}
		if values, isEnum := strings.CutPrefix(part, "enum="); isEnum {
			t.enum = strings.Split(values, "|")
		}
	}
	return t, ok
}

func isElement(t reflect.Type) bool {
	return t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice
}

// structFields holds the indices of the fields of a struct, by their names in a file.
type structFields struct {
	attributes, elements map[string]int
}

func indexFields(t reflect.Type) structFields {
	fields := structFields{attributes: map[string]int{}, elements: map[string]int{}}
	for i := range t.NumField() {
		tag, ok := parseTag(t.Field(i))
		switch {
		case !ok:
		case isElement(t.Field(i).Type):
			fields.elements[tag.name] = i
		default:
			fields.attributes[tag.name] = i
		}
	}
	return fields
}

// fill sets the fields of the struct v from an element.
func (d *decoder) fill(e *element, v reflect.Value) {
	for i := range v.NumField() {
		if v.Type().Field(i).Type == reflect.TypeFor[Pos]() {
			v.Field(i).Set(reflect.ValueOf(e.Pos))
		}
	}
	fields := indexFields(v.Type())
	attributes := d.fillAttributes(e, v, fields.attributes)
	elements := d.fillElements(e, v, fields.elements)
	d.checkRequired(e, v.Type(), attributes, elements)
}

// fillAttributes sets the scalar fields and returns the names of the attributes present.
func (d *decoder) fillAttributes(e *element, v reflect.Value, fields map[string]int) (presentNames map[string]bool) {
	presentNames = map[string]bool{}
	for _, attr := range e.attrs {
		name, namespace := attr.Name.Local, attr.Name.Space
		if namespace == "xmlns" || name == "xmlns" || namespace == "http://www.w3.org/2001/XMLSchema-instance" {
			continue
		}
		i, known := fields[name]
		if !known {
			d.addProblem(e.Pos, "use one of: "+joinNames(fields), "<%s> has no attribute %q", e.name, name)
			continue
		}
		if presentNames[name] {
			d.addProblem(e.Pos, "keep one of them", "<%s> has attribute %q twice", e.name, name)
		}
		presentNames[name] = true
		tag, _ := parseTag(v.Type().Field(i))
		d.setScalar(e, tag, attr.Value, v.Field(i))
	}
	return presentNames
}

// fillElements sets the fields that are elements and returns the names of the child elements present.
func (d *decoder) fillElements(e *element, v reflect.Value, fields map[string]int) (presentNames map[string]bool) {
	presentNames = map[string]bool{}
	for _, child := range e.children {
		i, known := fields[child.name]
		if !known {
			fix := "remove it; <" + e.name + "> has no child elements"
			if len(fields) > 0 {
				fix = "use one of: " + joinNames(fields)
			}
			d.addProblem(child.Pos, fix, "<%s> may not stand in <%s>", child.name, e.name)
			continue
		}
		field := v.Field(i)
		switch {
		case field.Kind() == reflect.Slice:
			item := reflect.New(field.Type().Elem()).Elem()
			d.fill(child, item)
			field.Set(reflect.Append(field, item))
		case presentNames[child.name]:
			d.addProblem(child.Pos, "keep one of them", "<%s> stands twice in <%s>", child.name, e.name)
		default:
			field.Set(reflect.New(field.Type().Elem()))
			d.fill(child, field.Elem())
		}
		presentNames[child.name] = true
	}
	return presentNames
}

// checkRequired reports the required attributes and child elements that an element lacks.
func (d *decoder) checkRequired(e *element, t reflect.Type, attributes, elements map[string]bool) {
	for i := range t.NumField() {
		tag, ok := parseTag(t.Field(i))
		switch fieldType := t.Field(i).Type; {
		case !ok || !tag.required:
		case isElement(fieldType) && !elements[tag.name]:
			d.addProblem(e.Pos, "add <"+tag.name+" .../>", "<%s> lacks <%s>", e.name, tag.name)
		case !isElement(fieldType) && !attributes[tag.name]:
			fix := fmt.Sprintf("add %s=%q", tag.name, exampleValue(fieldType, tag))
			d.addProblem(e.Pos, fix, "<%s> lacks the attribute %q", e.name, tag.name)
		}
	}
}

func joinNames(fields map[string]int) string {
	return strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
}
