package strictxml

import "slices"

// Item is an element of a document, with defaults filled in. Number, Int and EnumIndex panic if the grammar has no such attribute.
type Item struct {
	Line     int
	element  *Element
	attrs    map[string]string
	children []*Item
}

// Has reports whether an attribute was given or has a default.
func (i *Item) Has(name string) bool { _, ok := i.attrs[name]; return ok }

// Text returns an attribute's value as it was given, or "" if it is absent.
func (i *Item) Text(name string) string { return i.attrs[name] }

// Number returns the number of an attribute, or a duration in ms. It returns 0 if the attribute is absent.
func (i *Item) Number(name string) float64 {
	v, _ := i.element.attr(name).parse(i.attrs[name]) // the value was checked when it was read
	return v
}

// Int returns the integer of an attribute, or 0 if it is absent.
func (i *Item) Int(name string) int { return int(i.Number(name)) }

// Bool reports whether an attribute is true.
func (i *Item) Bool(name string) bool { return i.attrs[name] == "true" }

// EnumIndex returns the index of an attribute's value in the list of the grammar, or 0 if the attribute is absent.
func (i *Item) EnumIndex(name string) int {
	return max(0, slices.Index(i.element.attr(name).Values, i.attrs[name]))
}

// Children returns the children with a name, in the order of the document.
func (i *Item) Children(name string) []*Item {
	var children []*Item
	for _, child := range i.children {
		if child.element.Name == name {
			children = append(children, child)
		}
	}
	return children
}

// Child returns the first child with a name, or nil if there is none.
func (i *Item) Child(name string) *Item {
	at := slices.IndexFunc(i.children, func(child *Item) bool { return child.element.Name == name })
	if at < 0 {
		return nil
	}
	return i.children[at]
}
