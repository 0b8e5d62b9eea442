// Package strictxml reads XML documents strictly against a grammar given as a table, and names every fault with its
// line. The same table gives the XML schema, so that reader and schema can't part.
package strictxml

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

// Kind is what an attribute holds.
type Kind uint8

const (
	Name     Kind = iota // letters, digits, dots, dashes, underscores
	Duration             // a number and ms, s, m or h
	Number               // a decimal number
	Integer              // a whole number
	Bool
	Enum
	Address // host:port
	Text    // anything but nothing
)

// Attr is one attribute. Bounds of durations are in ms.
type Attr struct {
	Name     string
	Kind     Kind
	Default  string // "" with Must false: absent
	Required bool
	Min, Max float64 // both 0: none
	Values   []string
}

// Element is one element: its attributes and children, and the attribute that no two of its siblings share.
type Element struct {
	Name      string
	Attrs     []Attr
	Children  []*Element
	MinOccurs int // times it must appear
	MaxOccurs int // times it may appear, 0 for any number
	Key       string
}

// Fault is what is wrong, and in which line.
type Fault struct {
	Line int
	Text string
}

func (f Fault) String() string { return fmt.Sprintf("line %d: %s", f.Line, f.Text) }

// Item is an element that was read, with defaults filled in.
type Item struct {
	Line     int
	rule     *Element
	attrs    map[string]string
	children []*Item
}

// maxBytes is the largest document that is read.
const maxBytes = 4 << 20

type reader struct {
	decoder *xml.Decoder
	faults  []Fault
}

func (r *reader) fault(line int, format string, args ...any) {
	r.faults = append(r.faults, Fault{line, fmt.Sprintf(format, args...)})
}

func (r *reader) line() int {
	line, _ := r.decoder.InputPos()
	return line
}

// Read reads a document whose root is the element. The item is nil if there are faults.
func Read(in io.Reader, root *Element) (*Item, []Fault) {
	r := &reader{decoder: xml.NewDecoder(io.LimitReader(in, maxBytes))}
	var item *Item
	for {
		tok, err := r.decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.fault(r.line(), "not well-formed: %v", err)
			break
		}
		switch t := tok.(type) {
		case xml.StartElement:
			if item != nil || t.Name.Local != root.Name {
				r.fault(r.line(), "root <%s>, expected one <%s>", t.Name.Local, root.Name)
				return nil, r.faults
			}
			if item = r.element(t, root); item == nil {
				return nil, r.faults
			}
		case xml.CharData:
			r.text(t)
		case xml.Directive:
			r.fault(r.line(), "document type declarations are not read")
		}
	}
	if item == nil && len(r.faults) == 0 {
		r.fault(1, "no <%s>", root.Name)
	}
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return item, nil
}

func (r *reader) text(t xml.CharData) {
	if s := strings.TrimSpace(string(t)); s != "" {
		r.fault(r.line(), "text %.30q where only elements stand", s)
	}
}

// element reads up to the element's end; nil ends the whole reading.
func (r *reader) element(start xml.StartElement, rule *Element) *Item {
	it := &Item{Line: r.line(), rule: rule, attrs: map[string]string{}}
	if start.Name.Space != "" {
		r.fault(it.Line, "<%s>: namespaces are not used", rule.Name)
	}
	for _, at := range start.Attr {
		a := rule.attr(at.Name.Local)
		if a == nil || at.Name.Space != "" {
			r.fault(it.Line, "<%s>: unknown attribute %q", rule.Name, at.Name.Local)
			continue
		}
		if _, twice := it.attrs[a.Name]; twice {
			r.fault(it.Line, "<%s>: attribute %q twice", rule.Name, a.Name)
			continue
		}
		it.attrs[a.Name] = at.Value
		if err := a.check(at.Value); err != nil {
			r.fault(it.Line, "<%s %s=%q>: %v", rule.Name, a.Name, at.Value, err)
		}
	}
	for _, a := range rule.Attrs {
		if _, ok := it.attrs[a.Name]; ok {
			continue
		}
		if a.Required {
			r.fault(it.Line, "<%s>: attribute %q is missing", rule.Name, a.Name)
		} else if a.Default != "" {
			it.attrs[a.Name] = a.Default
		}
	}
	for {
		tok, err := r.decoder.Token()
		if err != nil {
			r.fault(r.line(), "<%s>: not well-formed: %v", rule.Name, err)
			return nil
		}
		switch t := tok.(type) {
		case xml.CharData:
			r.text(t)
		case xml.StartElement:
			child := rule.child(t.Name.Local)
			if child == nil {
				r.fault(r.line(), "<%s>: unknown element <%s>", rule.Name, t.Name.Local)
				if r.decoder.Skip() != nil {
					return nil
				}
				continue
			}
			sub := r.element(t, child)
			if sub == nil {
				return nil
			}
			it.children = append(it.children, sub)
		case xml.EndElement:
			r.checkOccurrences(it)
			return it
		}
	}
}

func (r *reader) checkOccurrences(it *Item) {
	for _, c := range it.rule.Children {
		seen, keys := 0, map[string]int{}
		for _, sub := range it.children {
			if sub.rule != c {
				continue
			}
			seen++
			if c.MaxOccurs > 0 && seen > c.MaxOccurs {
				r.fault(sub.Line, "<%s>: <%s> more than %d times", it.rule.Name, c.Name, c.MaxOccurs)
			}
			if key, ok := sub.attrs[c.Key]; ok && c.Key != "" {
				if first := keys[key]; first > 0 {
					r.fault(sub.Line, "<%s %s=%q> stands in line %d already", c.Name, c.Key, key, first)
				} else {
					keys[key] = sub.Line
				}
			}
		}
		if seen < c.MinOccurs {
			r.fault(it.Line, "<%s>: <%s> is missing", it.rule.Name, c.Name)
		}
	}
}

func (e *Element) attr(name string) *Attr {
	for i := range e.Attrs {
		if e.Attrs[i].Name == name {
			return &e.Attrs[i]
		}
	}
	return nil
}

func (e *Element) child(name string) *Element {
	for _, c := range e.Children {
		if c.Name == name {
			return c
		}
	}
	return nil
}

func (a *Attr) check(s string) error {
	switch a.Kind {
	case Name:
		if s == "" || strings.IndexFunc(s, badInName) >= 0 {
			return errors.New("a name of letters, digits, dots, dashes and underscores is expected")
		}
		return nil
	case Bool:
		if s != "true" && s != "false" {
			return errors.New("true or false is expected")
		}
		return nil
	case Enum:
		for _, w := range a.Values {
			if s == w {
				return nil
			}
		}
		return fmt.Errorf("one of %s is expected", strings.Join(a.Values, ", "))
	case Text:
		if strings.TrimSpace(s) == "" {
			return errors.New("some text is expected")
		}
		return nil
	case Address:
		if i := strings.LastIndexByte(s, ':'); i >= 0 {
			if port, err := strconv.ParseUint(s[i+1:], 10, 16); err == nil && port < 1<<16 && !strings.Contains(s, " ") {
				return nil
			}
		}
		return errors.New("host:port is expected")
	}
	v, err := a.parse(s)
	if err != nil {
		return err
	}
	if (a.Min != 0 || a.Max != 0) && (v < a.Min || v > a.Max) {
		return fmt.Errorf("outside %s to %s", a.format(a.Min), a.format(a.Max))
	}
	return nil
}

func badInName(c rune) bool {
	return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune(".-_", c))
}

func (a *Attr) parse(s string) (float64, error) {
	switch a.Kind {
	case Duration:
		d, err := time.ParseDuration(s)
		if err != nil || strings.TrimLeft(s, "0123456789.") == s || strings.ContainsAny(s, "nuµ") {
			return 0, errors.New("a duration with its unit (ms, s, m, h) is expected")
		}
		return float64(d) / float64(time.Millisecond), nil
	case Integer:
		v, err := strconv.ParseInt(s, 10, 53)
		if err != nil {
			return 0, errors.New("a whole number is expected")
		}
		return float64(v), nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || strings.Trim(s, "0123456789.+-") != "" || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, errors.New("a number is expected")
	}
	return v, nil
}

func (a *Attr) format(v float64) string {
	if a.Kind == Duration {
		return time.Duration(v * float64(time.Millisecond)).String()
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// Has tells whether an attribute was given or has a default.
func (it *Item) Has(name string) bool { _, ok := it.attrs[name]; return ok }

// Text is an attribute as it stands, "" if absent.
func (it *Item) Text(name string) string { return it.attrs[name] }

// Number is an attribute's number, a duration's ms; 0 if absent.
func (it *Item) Number(name string) float64 {
	v, _ := it.rule.attr(name).parse(it.attrs[name]) // checked when it was read
	return v
}

// Int is a whole number.
func (it *Item) Int(name string) int { return int(it.Number(name)) }

// Bool is a truth.
func (it *Item) Bool(name string) bool { return it.attrs[name] == "true" }

// EnumIndex is the place of an attribute's word in the grammar.
func (it *Item) EnumIndex(name string) int {
	for i, w := range it.rule.attr(name).Values {
		if w == it.attrs[name] {
			return i
		}
	}
	return 0
}

// Children are the children of a name, in order.
func (it *Item) Children(name string) []*Item {
	var all []*Item
	for _, c := range it.children {
		if c.rule.Name == name {
			all = append(all, c)
		}
	}
	return all
}

// Child is the first child of a name, nil if there is none.
func (it *Item) Child(name string) *Item {
	for _, c := range it.children {
		if c.rule.Name == name {
			return c
		}
	}
	return nil
}
