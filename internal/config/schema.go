package config

import (
	"bytes"
	"fmt"
	"reflect"
	"time"
)

// Schema returns the XML Schema (XSD 1.0) of the settings file. It is generated from the same structs that Parse fills.
func Schema() []byte { return SchemaOf("brackenbend", reflect.TypeFor[Settings]()) }

// scalarTypes are the simple types that a schema defines for attributes, each with the pattern of its values.
var scalarTypes = []struct{ name, pattern string }{
	{"duration", `0|([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+`},
	{"size", `[0-9]+(\.[0-9]+)?(B|KiB|MiB|GiB)`},
	{"tokens", `[0-9]+(\.[0-9]+)? *tokens`},
	{"rate", `[0-9]+(\.[0-9]+)?/s`},
}

// SchemaOf returns the schema of a file whose root element has the given name and is decoded into a struct of type t,
// which has cfg tags.
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
	writeSchemaElement(&b, root, t, "  ")
	b.WriteString("</xs:schema>\n")
	return b.Bytes()
}

// writeSchemaElement writes the definition of an element that is decoded into a struct of type t.
func writeSchemaElement(b *bytes.Buffer, name string, t reflect.Type, indent string) {
	fmt.Fprintf(b, "%s<xs:element name=%q>\n%s  <xs:complexType>\n", indent, name, indent)
	var elements, attributes []reflect.StructField
	for i := range t.NumField() {
		if _, ok := parseTag(t.Field(i)); ok && isElement(t.Field(i).Type) {
			elements = append(elements, t.Field(i))
		} else if ok {
			attributes = append(attributes, t.Field(i))
		}
	}
	if len(elements) > 0 {
		fmt.Fprintf(b, "%s    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">\n", indent)
		for _, f := range elements {
			tag, _ := parseTag(f)
			writeSchemaElement(b, tag.name, f.Type.Elem(), indent+"      ")
		}
		fmt.Fprintf(b, "%s    </xs:choice>\n", indent)
	}
	for _, f := range attributes {
		writeSchemaAttribute(b, f, indent+"    ")
	}
	fmt.Fprintf(b, "%s  </xs:complexType>\n%s</xs:element>\n", indent, indent)
}

// writeSchemaAttribute writes the definition of the attribute that is decoded into a scalar field.
func writeSchemaAttribute(b *bytes.Buffer, f reflect.StructField, indent string) {
	tag, _ := parseTag(f)
	use := ""
	if tag.required {
		use = ` use="required"`
	}
	if len(tag.enum) == 0 {
		fmt.Fprintf(b, "%s<xs:attribute name=%q type=%q%s/>\n", indent, tag.name, schemaTypeName(f.Type), use)
		return
	}
	fmt.Fprintf(b, "%s<xs:attribute name=%q%s><xs:simpleType><xs:restriction base=\"xs:string\">", indent, tag.name, use)
	for _, value := range tag.enum {
		fmt.Fprintf(b, "<xs:enumeration value=%q/>", value)
	}
	fmt.Fprintf(b, "</xs:restriction></xs:simpleType></xs:attribute>\n")
}

func schemaTypeName(t reflect.Type) string {
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
