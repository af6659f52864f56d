package config

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Size is a number of bytes.
type Size int64

// Tokens is a number of tokens.
type Tokens float64

// Rate is a number per second.
type Rate float64

// maxNumber is the largest number, before its unit, in attributes other than durations and integers.
const maxNumber = 1e15

// exampleValue returns a valid value for a missing attribute, which the fix of the problem suggests.
func exampleValue(t reflect.Type, tag fieldTag) string {
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

// sizeUnits are the units of sizes. B is the last, because setSize uses the first suffix that matches and all units end
// with B.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// scalarParser parses the value of one attribute and reports problems with it.
type scalarParser struct {
	decoder *decoder
	element *element
	tag     fieldTag
	text    string
}

// setScalar sets a field from the text of its attribute.
func (d *decoder) setScalar(e *element, tag fieldTag, text string, v reflect.Value) {
	p := &scalarParser{d, e, tag, text}
	switch v.Interface().(type) {
	case time.Duration:
		p.setDuration(v)
	case Size:
		p.setSize(v)
	case Tokens:
		p.setTokens(v)
	case Rate:
		p.setRate(v)
	case bool:
		p.setBool(v)
	case int:
		p.setInt(v)
	case float64:
		if number, ok := p.parseNumber(text, "write a number such as 0.25"); ok {
			v.SetFloat(number)
		}
	case string:
		p.setString(v)
	}
}

// addProblem reports that the value is invalid.
func (p *scalarParser) addProblem(fix, message string) {
	p.decoder.addProblem(p.element.Pos, fix, "<%s> %s=%q: %s", p.element.name, p.tag.name, truncate(p.text), message)
}

// parseNumber parses a number from 0 to maxNumber. It reports any other text with the given fix.
func (p *scalarParser) parseNumber(text, fix string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= 0 && number <= maxNumber) {
		p.addProblem(fix, "not a number of at least 0")
		return 0, false
	}
	return number, true
}

func (p *scalarParser) setDuration(v reflect.Value) {
	duration, err := time.ParseDuration(p.text)
	_, numberErr := strconv.ParseFloat(p.text, 64)
	switch {
	case numberErr == nil:
		p.addProblem(fmt.Sprintf("write %sms or %ss", p.text, p.text), "a time needs its unit")
	case err != nil || duration < 0:
		p.addProblem("write it like 500ms, 2s or 1m30s", "not a time")
	default:
		v.SetInt(int64(duration))
	}
}

func (p *scalarParser) setSize(v reflect.Value) {
	for _, unit := range sizeUnits {
		text, ok := strings.CutSuffix(p.text, unit.suffix)
		if !ok {
			continue
		}
		if number, ok := p.parseNumber(text, "write it like 64KiB"); ok {
			v.SetInt(int64(number * float64(unit.bytes)))
		}
		return
	}
	p.addProblem(fmt.Sprintf("write %sB, %sKiB or %sMiB", p.text, p.text, p.text), "a size needs its unit")
}

func (p *scalarParser) setTokens(v reflect.Value) {
	text, ok := strings.CutSuffix(p.text, "tokens")
	if !ok {
		p.addProblem("write "+p.text+"tokens", "a number of tokens needs its unit")
		return
	}
	if number, ok := p.parseNumber(strings.TrimSpace(text), "write it like 200000tokens"); ok {
		v.SetFloat(number)
	}
}

func (p *scalarParser) setRate(v reflect.Value) {
	text, ok := strings.CutSuffix(p.text, "/s")
	if !ok {
		p.addProblem("write "+p.text+"/s", "a rate needs its unit")
		return
	}
	if number, ok := p.parseNumber(text, "write it like 10/s"); ok {
		v.SetFloat(number)
	}
}

func (p *scalarParser) setBool(v reflect.Value) {
	if p.text != "true" && p.text != "false" {
		p.addProblem("write true or false", "neither true nor false")
	}
	v.SetBool(p.text == "true")
}

func (p *scalarParser) setInt(v reflect.Value) {
	number, err := strconv.Atoi(p.text)
	if err != nil || number < 0 {
		p.addProblem("write a whole number such as 4", "not a whole number of at least 0")
		return
	}
	v.SetInt(int64(number))
}

func (p *scalarParser) setString(v reflect.Value) {
	if len(p.tag.enum) > 0 && !slices.Contains(p.tag.enum, p.text) {
		p.addProblem("write one of: "+strings.Join(p.tag.enum, ", "), "unknown value")
		return
	}
	if p.tag.required && p.text == "" {
		p.addProblem("give it a value", "the value is empty")
	}
	v.SetString(p.text)
}
