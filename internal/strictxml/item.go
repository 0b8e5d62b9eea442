package strictxml

import "slices"

// Item is an element that was read, with defaults filled in. Its methods panic if the grammar has no such attribute.
type Item struct {
	Line     int
	element  *Element
	attrs    map[string]string
	children []*Item
}

// Has tells whether an attribute was given or has a default.
func (i *Item) Has(name string) bool { _, ok := i.attrs[name]; return ok }

// Text is an attribute's value as it was given, "" if it is absent.
func (i *Item) Text(name string) string { return i.attrs[name] }

// Number is an attribute's number, a duration's in ms; 0 if it is absent.
func (i *Item) Number(name string) float64 {
	v, _ := i.element.attr(name).parse(i.attrs[name]) // it was checked when it was read
	return v
}

// Int is an attribute's whole number.
func (i *Item) Int(name string) int { return int(i.Number(name)) }

// Bool tells whether an attribute is true.
func (i *Item) Bool(name string) bool { return i.attrs[name] == "true" }

// EnumIndex is the place of an attribute's value in the grammar's list, 0 if it is absent.
func (i *Item) EnumIndex(name string) int {
	return max(0, slices.Index(i.element.attr(name).Values, i.attrs[name]))
}

// Children are the children of a name, in order.
func (i *Item) Children(name string) []*Item {
	var children []*Item
	for _, child := range i.children {
		if child.element.Name == name {
			children = append(children, child)
		}
	}
	return children
}

// Child is the first child of a name, nil if there is none.
func (i *Item) Child(name string) *Item {
	at := slices.IndexFunc(i.children, func(child *Item) bool { return child.element.Name == name })
	if at < 0 {
		return nil
	}
	return i.children[at]
}
