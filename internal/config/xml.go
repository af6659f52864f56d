package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Problem is one thing wrong with a settings file.
type Problem struct {
	File         string
	Line, Column int
	What, Fix    string
}

func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", p.File, p.Line, p.Column, p.What, p.Fix)
}

// Problems are all that a check found, in the file's order.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Pos is where an element stands.
type Pos struct{ Line, Column int }

// node is an element with its place.
type node struct {
	Pos
	name  string
	attrs []xml.Attr
	kids  []*node
}

// decoder fills structs from nodes and collects problems rather than stop at the first.
//
// A field of a struct is an attribute if its type is a scalar, an element if it is a pointer to a struct or a
// slice of structs. Its name in the file is the tag `cfg`, which may go on with ",required" and, for strings,
// ",enum=a|b". A field of type Pos without a tag takes the element's place.
type decoder struct {
	file     string
	problems Problems
}

func (d *decoder) problem(p Pos, mend, format string, a ...any) {
	d.problems = append(d.problems, Problem{d.file, p.Line, p.Column, fmt.Sprintf(format, a...), mend})
}

// maxDepth and maxSize bound a settings file.
const (
	maxDepth = 16
	maxSize  = 8 << 20
)

func (d *decoder) parse(text []byte) *node {
	if len(text) > maxSize {
		d.problem(Pos{1, 1}, "split it or remove what is not needed", "the file has %d bytes, %d at most are read", len(text), maxSize)
		return nil
	}
	x := xml.NewDecoder(bytes.NewReader(text))
	var stack []*node
	var root *node
	for {
		line, col := x.InputPos()
		tok, err := x.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			line, col = x.InputPos()
			d.problem(Pos{line, col}, "correct the XML there", "%v", err)
			return nil
		}
		switch tok := tok.(type) {
		case xml.StartElement:
			n := &node{Pos: Pos{line, col}, name: tok.Name.Local, attrs: tok.Copy().Attr}
			if len(stack) == maxDepth {
				d.problem(n.Pos, "see the schema for what may stand where", "elements are nested over %d deep", maxDepth)
				return nil
			}
			if len(stack) > 0 {
				top := stack[len(stack)-1]
				top.kids = append(top.kids, n)
			} else {
				root = n
			}
			stack = append(stack, n)
		case xml.EndElement:
			stack = stack[:len(stack)-1]
		case xml.CharData:
			if s := strings.TrimSpace(string(tok)); s != "" {
				d.problem(Pos{line, col}, "remove it, or make it a comment", "text %q where only elements may stand", clip(s))
			}
		}
	}
	if root == nil {
		d.problem(Pos{1, 1}, "begin with <brackenbend>", "no element in the file")
	}
	return root
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

// tag splits a field's tag.
type fieldTag struct {
	name     string
	required bool
	enum     []string
}

func parseTag(f reflect.StructField) (t fieldTag, ok bool) {
	s, ok := f.Tag.Lookup("cfg")
	parts := strings.Split(s, ",")
	t.name = parts[0]
	for _, p := range parts[1:] {
		if p == "required" {
			t.required = true
		}
		if v, is := strings.CutPrefix(p, "enum="); is {
			t.enum = strings.Split(v, "|")
		}
	}
	return t, ok
}

func isElement(t reflect.Type) bool {
	return t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice
}

func (d *decoder) fill(n *node, v reflect.Value) {
	t := v.Type()
	attrs, elems := map[string]int{}, map[string]int{}
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Type == reflect.TypeFor[Pos]() {
			v.Field(i).Set(reflect.ValueOf(n.Pos))
		} else if tag, ok := parseTag(f); ok && isElement(f.Type) {
			elems[tag.name] = i
		} else if ok {
			attrs[tag.name] = i
		}
	}
	seen := map[string]bool{}
	for _, a := range n.attrs {
		if a.Name.Space == "xmlns" || a.Name.Local == "xmlns" || a.Name.Space == "http://www.w3.org/2001/XMLSchema-instance" {
			continue
		}
		i, ok := attrs[a.Name.Local]
		if !ok {
			d.problem(n.Pos, "use one of: "+names(attrs), "<%s> has no attribute %q", n.name, a.Name.Local)
			continue
		}
		if seen[a.Name.Local] {
			d.problem(n.Pos, "keep one of them", "<%s> has attribute %q twice", n.name, a.Name.Local)
		}
		seen[a.Name.Local] = true
		tag, _ := parseTag(t.Field(i))
		d.scalar(n, tag, a.Value, v.Field(i))
	}
	for _, k := range n.kids {
		i, ok := elems[k.name]
		if !ok {
			mend := "remove it; <" + n.name + "> takes no elements"
			if len(elems) > 0 {
				mend = "use one of: " + names(elems)
			}
			d.problem(k.Pos, mend, "<%s> may not stand in <%s>", k.name, n.name)
			continue
		}
		f := v.Field(i)
		if f.Kind() == reflect.Slice {
			e := reflect.New(f.Type().Elem()).Elem()
			d.fill(k, e)
			f.Set(reflect.Append(f, e))
		} else if seen["<"+k.name] {
			d.problem(k.Pos, "keep one of them", "<%s> stands twice in <%s>", k.name, n.name)
		} else {
			f.Set(reflect.New(f.Type().Elem()))
			d.fill(k, f.Elem())
		}
		seen["<"+k.name] = true
	}
	for i := range t.NumField() {
		tag, ok := parseTag(t.Field(i))
		switch {
		case !ok || !tag.required:
		case isElement(t.Field(i).Type) && !seen["<"+tag.name]:
			d.problem(n.Pos, "add <"+tag.name+" .../>", "<%s> lacks <%s>", n.name, tag.name)
		case !isElement(t.Field(i).Type) && !seen[tag.name]:
			d.problem(n.Pos, fmt.Sprintf("add %s=%q", tag.name, example(t.Field(i).Type, tag)), "<%s> lacks the attribute %q", n.name, tag.name)
		}
	}
}

func names(m map[string]int) string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// Size is a number of bytes.
type Size int64

// Tokens is a number of tokens.
type Tokens float64

// Rate is a number a second.
type Rate float64

func example(t reflect.Type, tag fieldTag) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "500ms"
	case t == reflect.TypeFor[Size]():
		return "64KiB"
	case t == reflect.TypeFor[Tokens]():
		return "200000tokens"
	case t == reflect.TypeFor[Rate]():
		return "10/s"
	case len(tag.enum) > 0:
		return tag.enum[0]
	case t.Kind() == reflect.Bool:
		return "true"
	case t.Kind() == reflect.String:
		return "..."
	}
	return "1"
}

var sizeUnits = []struct {
	unit string
	n    int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

func (d *decoder) scalar(n *node, tag fieldTag, s string, v reflect.Value) {
	wrong := func(mend, format string, a ...any) {
		d.problem(n.Pos, mend, "<%s> %s=%q: %s", n.name, tag.name, clip(s), fmt.Sprintf(format, a...))
	}
	number := func(s, mend string) (float64, bool) {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f >= 0 && f <= 1e15) {
			wrong(mend, "not a number of at least 0")
			return 0, false
		}
		return f, true
	}
	switch v.Interface().(type) {
	case time.Duration:
		t, err := time.ParseDuration(s)
		switch _, bare := strconv.ParseFloat(s, 64); {
		case bare == nil:
			wrong(fmt.Sprintf("write %sms or %ss", s, s), "a time needs its unit")
		case err != nil || t < 0:
			wrong("write it like 500ms, 2s or 1m30s", "not a time")
		default:
			v.SetInt(int64(t))
		}
	case Size:
		for _, u := range sizeUnits {
			if num, ok := strings.CutSuffix(s, u.unit); ok {
				if f, ok := number(num, "write it like 64KiB"); ok {
					v.SetInt(int64(f * float64(u.n)))
				}
				return
			}
		}
		wrong(fmt.Sprintf("write %sB, %sKiB or %sMiB", s, s, s), "a size needs its unit")
	case Tokens:
		num, ok := strings.CutSuffix(s, "tokens")
		if !ok {
			wrong("write "+s+"tokens", "a number of tokens needs its unit")
		} else if f, ok := number(strings.TrimSpace(num), "write it like 200000tokens"); ok {
			v.SetFloat(f)
		}
	case Rate:
		num, ok := strings.CutSuffix(s, "/s")
		if !ok {
			wrong("write "+s+"/s", "a rate needs its unit")
		} else if f, ok := number(num, "write it like 10/s"); ok {
			v.SetFloat(f)
		}
	case bool:
		if s != "true" && s != "false" {
			wrong("write true or false", "neither true nor false")
		}
		v.SetBool(s == "true")
	case int:
		i, err := strconv.Atoi(s)
		if err != nil || i < 0 {
			wrong("write a whole number such as 4", "not a whole number of at least 0")
			return
		}
		v.SetInt(int64(i))
	case float64:
		if f, ok := number(s, "write a number such as 0.25"); ok {
			v.SetFloat(f)
		}
	case string:
		if len(tag.enum) > 0 && !slices.Contains(tag.enum, s) {
			wrong("write one of: "+strings.Join(tag.enum, ", "), "unknown value")
			return
		}
		if tag.required && s == "" {
			wrong("give it a value", "it is empty")
		}
		v.SetString(s)
	}
}

// Schema is the XML Schema (XSD 1.0) of the settings, made from the same structs that the checker fills.
func Schema() []byte { return SchemaOf("brackenbend", reflect.TypeFor[Settings]()) }

// SchemaOf makes the schema of a struct with cfg tags.
func SchemaOf(root string, t reflect.Type) []byte {
	var b bytes.Buffer
	b.WriteString(`<?xml version="1.0" encoding="UTF-8"?>
<!-- Made by "brackenbend schema"; a test holds it against the checker. -->
<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema" elementFormDefault="qualified">
  <xs:simpleType name="duration"><xs:restriction base="xs:string"><xs:pattern value="0|([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+"/></xs:restriction></xs:simpleType>
  <xs:simpleType name="size"><xs:restriction base="xs:string"><xs:pattern value="[0-9]+(\.[0-9]+)?(B|KiB|MiB|GiB)"/></xs:restriction></xs:simpleType>
  <xs:simpleType name="tokens"><xs:restriction base="xs:string"><xs:pattern value="[0-9]+(\.[0-9]+)? *tokens"/></xs:restriction></xs:simpleType>
  <xs:simpleType name="rate"><xs:restriction base="xs:string"><xs:pattern value="[0-9]+(\.[0-9]+)?/s"/></xs:restriction></xs:simpleType>
`)
	schemaElement(&b, root, t, "  ", "")
	b.WriteString("</xs:schema>\n")
	return b.Bytes()
}

func schemaElement(b *bytes.Buffer, name string, t reflect.Type, in, occurs string) {
	fmt.Fprintf(b, "%s<xs:element name=%q%s>\n%s  <xs:complexType>\n", in, name, occurs, in)
	var elems, attrs []reflect.StructField
	for i := range t.NumField() {
		if _, ok := parseTag(t.Field(i)); ok && isElement(t.Field(i).Type) {
			elems = append(elems, t.Field(i))
		} else if ok {
			attrs = append(attrs, t.Field(i))
		}
	}
	if len(elems) > 0 {
		fmt.Fprintf(b, "%s    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">\n", in)
		for _, f := range elems {
			tag, _ := parseTag(f)
			schemaElement(b, tag.name, f.Type.Elem(), in+"      ", "")
		}
		fmt.Fprintf(b, "%s    </xs:choice>\n", in)
	}
	for _, f := range attrs {
		tag, _ := parseTag(f)
		use := ""
		if tag.required {
			use = ` use="required"`
		}
		if len(tag.enum) > 0 {
			fmt.Fprintf(b, "%s    <xs:attribute name=%q%s><xs:simpleType><xs:restriction base=\"xs:string\">", in, tag.name, use)
			for _, e := range tag.enum {
				fmt.Fprintf(b, "<xs:enumeration value=%q/>", e)
			}
			fmt.Fprintf(b, "</xs:restriction></xs:simpleType></xs:attribute>\n")
			continue
		}
		fmt.Fprintf(b, "%s    <xs:attribute name=%q type=%q%s/>\n", in, tag.name, schemaType(f.Type), use)
	}
	fmt.Fprintf(b, "%s  </xs:complexType>\n%s</xs:element>\n", in, in)
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
	}
	return "xs:string"
}
