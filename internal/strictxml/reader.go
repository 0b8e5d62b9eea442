package strictxml

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxBytes is the maximum length of a document.
const maxBytes = 4 << 20

// reader reads one document and collects its faults.
type reader struct {
	decoder *xml.Decoder
	faults  []Fault
}

// Read reads a document whose root element is described by root. The item is nil if there are faults.
func Read(in io.Reader, root *Element) (*Item, []Fault) {
	r := &reader{decoder: xml.NewDecoder(io.LimitReader(in, maxBytes))}
	item := r.readDocument(root)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return item, nil
}

// readDocument reads up to the end of the document, or up to a fault after which the rest cannot be read.
func (r *reader) readDocument(root *Element) (item *Item) {
	for {
		token, err := r.decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.addFault(r.line(), "not well-formed: %v", err)
			break
		}
		switch t := token.(type) {
		case xml.StartElement:
			if item != nil || t.Name.Local != root.Name {
				r.addFault(r.line(), "unexpected root element <%s>, must be a single <%s>", t.Name.Local, root.Name)
				return nil
			}
			if item = r.readElement(t, root); item == nil {
				return nil
			}
		case xml.CharData:
			r.checkBlank(t)
		case xml.Directive:
			r.addFault(r.line(), "document type declarations are not allowed")
		}
	}
	if item == nil && len(r.faults) == 0 {
		r.addFault(1, "root element <%s> is missing", root.Name)
	}
	return item
}

func (r *reader) addFault(line int, format string, args ...any) {
	r.faults = append(r.faults, Fault{line, fmt.Sprintf(format, args...)})
}

// line returns the line of the last token.
func (r *reader) line() int {
	line, _ := r.decoder.InputPos()
	return line
}

func (r *reader) checkBlank(text xml.CharData) {
	if s := strings.TrimSpace(string(text)); s != "" {
		r.addFault(r.line(), "text %.30q where only elements are allowed", s)
	}
}

// readElement reads up to the element's end. It returns nil if the rest of the document cannot be read.
func (r *reader) readElement(start xml.StartElement, element *Element) *Item {
	item := &Item{Line: r.line(), element: element, attrs: map[string]string{}}
	if start.Name.Space != "" {
		r.addFault(item.Line, "<%s>: namespaces are not allowed", element.Name)
	}
	for _, attr := range start.Attr {
		r.readAttr(item, attr)
	}
	r.setDefaults(item)
	for {
		token, err := r.decoder.Token()
		if err != nil {
			r.addFault(r.line(), "<%s>: not well-formed: %v", element.Name, err)
			return nil
		}
		switch t := token.(type) {
		case xml.CharData:
			r.checkBlank(t)
		case xml.StartElement:
			if !r.readChild(item, t) {
				return nil
			}
		case xml.EndElement:
			r.checkOccurrences(item)
			return item
		}
	}
}

// readAttr checks an attribute and adds it to an item.
func (r *reader) readAttr(item *Item, given xml.Attr) {
	element := item.element
	attr := element.attr(given.Name.Local)
	if attr == nil || given.Name.Space != "" {
		r.addFault(item.Line, "<%s>: unknown attribute %q", element.Name, given.Name.Local)
		return
	}
	if _, duplicate := item.attrs[attr.Name]; duplicate {
		r.addFault(item.Line, "<%s>: duplicate attribute %q", element.Name, attr.Name)
		return
	}
	item.attrs[attr.Name] = given.Value
	if err := attr.check(given.Value); err != nil {
		r.addFault(item.Line, "<%s %s=%q>: %v", element.Name, attr.Name, given.Value, err)
	}
}

// setDefaults sets attributes that were not given to their defaults, and reports required ones that are missing.
func (r *reader) setDefaults(item *Item) {
	for _, attr := range item.element.Attrs {
		if item.Has(attr.Name) {
			continue
		}
		if attr.Required {
			r.addFault(item.Line, "<%s>: attribute %q is missing", item.element.Name, attr.Name)
		} else if attr.Default != "" {
			item.attrs[attr.Name] = attr.Default
		}
	}
}

// readChild reads a child of an item. It returns false if the rest of the document cannot be read.
func (r *reader) readChild(item *Item, start xml.StartElement) bool {
	element := item.element.child(start.Name.Local)
	if element == nil {
		r.addFault(r.line(), "<%s>: unknown element <%s>", item.element.Name, start.Name.Local)
		return r.decoder.Skip() == nil
	}
	child := r.readElement(start, element)
	if child == nil {
		return false
	}
	item.children = append(item.children, child)
	return true
}

// checkOccurrences checks how often the children of an item occur, and that their keys are unique.
func (r *reader) checkOccurrences(item *Item) {
	for _, element := range item.element.Children {
		count, lineOf := 0, map[string]int{} // line of each key
		for _, child := range item.children {
			if child.element != element {
				continue
			}
			count++
			if element.MaxOccurs > 0 && count > element.MaxOccurs {
				r.addFault(child.Line, "<%s>: <%s> occurs more than %d times", item.element.Name, element.Name, element.MaxOccurs)
			}
			r.checkKey(child, lineOf)
		}
		if count < element.MinOccurs {
			r.addFault(item.Line, "<%s>: <%s> is missing", item.element.Name, element.Name)
		}
	}
}

// checkKey checks that no earlier sibling has the same key as an item. lineOf holds the lines of the siblings by key.
func (r *reader) checkKey(item *Item, lineOf map[string]int) {
	element := item.element
	key, ok := item.attrs[element.Key]
	if !ok || element.Key == "" {
		return
	}
	if first := lineOf[key]; first > 0 {
		r.addFault(item.Line, "duplicate <%s %s=%q>, first in line %d", element.Name, element.Key, key, first)
	} else {
		lineOf[key] = item.Line
	}
}
