package config

import (
	"bytes"
	"fmt"
	"reflect"
	"time"
)

// Schema is the XML Schema (XSD 1.0) of the settings, made from the same structs that the checker fills.
func Schema() []byte { return SchemaOf("brackenbend", reflect.TypeFor[Settings]()) }

// scalarTypes are the simple types of attributes: their names in a schema and the patterns of their values.
var scalarTypes = []struct{ name, pattern string }{
	{"duration", `0|([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+`},
	{"size", `[0-9]+(\.[0-9]+)?(B|KiB|MiB|GiB)`},
	{"tokens", `[0-9]+(\.[0-9]+)? *tokens`},
	{"rate", `[0-9]+(\.[0-9]+)?/s`},
}

// SchemaOf makes the schema of a struct with cfg tags.
func SchemaOf(root string, t reflect.Type) []byte {
	var b bytes.Buffer
	b.WriteString(`<?xml version="1.0" encoding="UTF-8"?>
<!-- Made by "brackenbend schema"; a test holds it against the checker. -->
<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema" elementFormDefault="qualified">
`)
	for _, s := range scalarTypes {
		fmt.Fprintf(&b, `  <xs:simpleType name="%s"><xs:restriction base="xs:string">`, s.name)
		fmt.Fprintf(&b, `<xs:pattern value="%s"/></xs:restriction></xs:simpleType>`+"\n", s.pattern)
	}
	schemaElement(&b, root, t, "  ")
	b.WriteString("</xs:schema>\n")
	return b.Bytes()
}

// schemaElement writes the element of a struct, indented by indent.
func schemaElement(b *bytes.Buffer, name string, t reflect.Type, indent string) {
	fmt.Fprintf(b, "%s<xs:element name=%q>\n%s  <xs:complexType>\n", indent, name, indent)
	var elems, attrs []reflect.StructField
	for i := range t.NumField() {
		if _, ok := parseTag(t.Field(i)); ok && isElement(t.Field(i).Type) {
			elems = append(elems, t.Field(i))
		} else if ok {
			attrs = append(attrs, t.Field(i))
		}
	}
	if len(elems) > 0 {
		fmt.Fprintf(b, "%s    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">\n", indent)
		for _, f := range elems {
			tag, _ := parseTag(f)
			schemaElement(b, tag.name, f.Type.Elem(), indent+"      ")
		}
		fmt.Fprintf(b, "%s    </xs:choice>\n", indent)
	}
	for _, f := range attrs {
		schemaAttribute(b, f, indent+"    ")
	}
	fmt.Fprintf(b, "%s  </xs:complexType>\n%s</xs:element>\n", indent, indent)
}

// schemaAttribute writes the attribute of a scalar field.
func schemaAttribute(b *bytes.Buffer, f reflect.StructField, indent string) {
	tag, _ := parseTag(f)
	use := ""
	if tag.required {
		use = ` use="required"`
	}
	if len(tag.enum) == 0 {
		fmt.Fprintf(b, "%s<xs:attribute name=%q type=%q%s/>\n", indent, tag.name, schemaType(f.Type), use)
		return
	}
	fmt.Fprintf(b, "%s<xs:attribute name=%q%s><xs:simpleType><xs:restriction base=\"xs:string\">", indent, tag.name, use)
	for _, value := range tag.enum {
		fmt.Fprintf(b, "<xs:enumeration value=%q/>", value)
	}
	fmt.Fprintf(b, "</xs:restriction></xs:simpleType></xs:attribute>\n")
}

func schemaType(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return "duration"
	case reflect.TypeFor[Size]():
		return "size"
	case reflect.TypeFor[Tokens]():
		return "tokens"
	case reflect.TypeFor[Rate]():
		return "rate"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "xs:boolean"
	case reflect.Int:
		return "xs:nonNegativeInteger"
	case reflect.Float64:
		return "xs:decimal"
	default:
		return "xs:string"
	}
}
