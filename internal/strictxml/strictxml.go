// Package strictxml reads XML documents, validates them strictly against a grammar that is given as a table, and reports each fault with its
// line. Schema returns the XML schema of the same table, so that the reader and the schema cannot differ.
//
// The input is an io.Reader of at most 4 MiB; the output is a tree of items with defaults filled in, or a list of faults. Reading does not
// change a grammar, so goroutines may use it concurrently. Durations are in milliseconds.
package strictxml

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of an attribute's value.
type Kind uint8

// Kinds of attributes.
const (
	Name     Kind = iota // letters, digits, dots, dashes and underscores
	Duration             // number with the unit ms, s, m or h
	Number               // decimal number
	Integer
	Bool    // true or false
	Enum    // one of the attribute's values
	Address // host:port, the host may be empty
	Text    // any text that is not blank
)

// Attr describes an attribute of an element.
type Attr struct {
	Name     string
	Kind     Kind
	Required bool
	Default  string   // default of an optional attribute; empty if there is none
	Min, Max float64  // inclusive bounds of numbers and, in ms, of durations; both 0 if there are none
	Values   []string // permitted values of an Enum
}

// Element describes an element with its attributes and children.
type Element struct {
	Name      string
	Attrs     []Attr
	Children  []*Element
	MinOccurs int
	MaxOccurs int    // 0 if there is no maximum
	Key       string // attribute whose value is unique among siblings of the same name; empty if there is none
}

// Fault is an error in a document, with its line.
type Fault struct {
	Line int
	Text string
}

func (f Fault) String() string { return fmt.Sprintf("line %d: %s", f.Line, f.Text) }

func (e *Element) attr(name string) *Attr {
	i := slices.IndexFunc(e.Attrs, func(a Attr) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &e.Attrs[i]
}

func (e *Element) child(name string) *Element {
	i := slices.IndexFunc(e.Children, func(c *Element) bool { return c.Name == name })
	if i < 0 {
		return nil
	}
	return e.Children[i]
}

// check returns an error if a text is not a valid value of the attribute.
func (a *Attr) check(text string) error {
	switch a.Kind {
	case Name:
		if text == "" || strings.ContainsFunc(text, isInvalidNameRune) {
			return errors.New("must be a name of letters, digits, dots, dashes and underscores")
		}
		return nil
	case Bool:
		if text != "true" && text != "false" {
			return errors.New("must be true or false")
		}
		return nil
	case Enum:
		if !slices.Contains(a.Values, text) {
			return fmt.Errorf("must be one of %s", strings.Join(a.Values, ", "))
		}
		return nil
	case Text:
		if strings.TrimSpace(text) == "" {
			return errors.New("must not be blank")
		}
		return nil
	case Address:
		if !isAddress(text) {
			return errors.New("must be host:port")
		}
		return nil
	default:
		return a.checkNumber(text)
	}
}

// checkNumber returns an error if a text is not a number or duration within the attribute's bounds.
func (a *Attr) checkNumber(text string) error {
	v, err := a.parse(text)
	if err != nil {
		return err
	}
	if (a.Min != 0 || a.Max != 0) && (v < a.Min || v > a.Max) {
		return fmt.Errorf("must be between %s and %s", a.format(a.Min), a.format(a.Max))
	}
	return nil
}

func isInvalidNameRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return !strings.ContainsRune(".-_", c)
}

// isAddress reports whether a text is host:port. The host may be empty.
func isAddress(text string) bool {
	i := strings.LastIndexByte(text, ':')
	if i < 0 || strings.Contains(text, " ") {
		return false
	}
	_, err := strconv.ParseUint(text[i+1:], 10, 16)
	return err == nil
}

// parse returns the number that a text represents, or its duration in ms.
func (a *Attr) parse(text string) (float64, error) {
	switch a.Kind {
	case Duration:
		return parseDuration(text)
	case Integer:
		v, err := strconv.ParseInt(text, 10, 53) // a float64 represents integers of 53 bits exactly
		if err != nil {
			return 0, errors.New("must be an integer")
		}
		return float64(v), nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.+-") != "" || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, errors.New("must be a number")
	}
	return v, nil
}

// parseDuration returns a duration in ms. Units smaller than ms are not allowed.
func parseDuration(text string) (float64, error) {
	d, err := time.ParseDuration(text)
	if err != nil || strings.TrimLeft(text, "0123456789.") == text || strings.ContainsAny(text, "nuµ") {
		return 0, errors.New("must be a duration with its unit (ms, s, m, h)")
	}
	return float64(d) / float64(time.Millisecond), nil
}

// format returns a bound of the attribute as text, the bound of a duration with its unit.
func (a *Attr) format(v float64) string {
	if a.Kind == Duration {
		return time.Duration(v * float64(time.Millisecond)).String()
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}
