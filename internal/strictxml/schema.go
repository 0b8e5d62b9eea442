package strictxml

import (
	"fmt"
	"strings"
)

// simpleTypes are the types that the schema defines for kinds without a built-in type.
var simpleTypes = []struct{ name, pattern string }{
	{"name", `[A-Za-z0-9._-]+`},
	{"duration", `([0-9]+(\.[0-9]*)?(ms|s|m|h))+`},
	{"address", `[^ ]*:[0-9]{1,5}`},
}

// baseTypes maps the kind of an attribute to its type in the schema.
var baseTypes = map[Kind]string{
	Name:     "name",
	Duration: "duration",
	Number:   "xs:decimal",
	Integer:  "xs:integer",
	Bool:     "xs:string",
	Enum:     "xs:string",
	Address:  "address",
	Text:     "xs:string",
}

// Schema returns the XML schema of a grammar. XML Schema 1.0 cannot express some rules: occurrences of children in any order, sums,
// references and bounds of durations. Occurrences and bounds of durations are checked by Read, sums and references by its callers.
func Schema(root *Element) string {
	var b strings.Builder
	b.WriteString("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n")
	b.WriteString("<xs:schema xmlns:xs=\"http://www.w3.org/2001/XMLSchema\">\n")
	for _, t := range simpleTypes {
		fmt.Fprintf(&b, "  <xs:simpleType name=\"%s\"><xs:restriction base=\"xs:string\"><xs:pattern value=\"%s\"/>"+
			"</xs:restriction></xs:simpleType>\n", t.name, t.pattern)
	}
	writeElement(&b, root, "  ")
	b.WriteString("</xs:schema>\n")
	return b.String()
}

func writeElement(b *strings.Builder, e *Element, indent string) {
	fmt.Fprintf(b, "%s<xs:element name=%q>\n%s  <xs:complexType>\n", indent, e.Name, indent)
	if len(e.Children) > 0 {
		fmt.Fprintf(b, "%s    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">\n", indent)
		for _, child := range e.Children {
			writeElement(b, child, indent+"      ")
		}
		fmt.Fprintf(b, "%s    </xs:choice>\n", indent)
	}
	for _, attr := range e.Attrs {
		writeAttr(b, attr, indent+"    ")
	}
	fmt.Fprintf(b, "%s  </xs:complexType>\n", indent)
	for _, child := range e.Children {
		if child.Key != "" {
			fmt.Fprintf(b, "%s  <xs:unique name=\"%s-%s\"><xs:selector xpath=%q/><xs:field xpath=\"@%s\"/></xs:unique>\n",
				indent, e.Name, child.Name, child.Name, child.Key)
		}
	}
	fmt.Fprintf(b, "%s</xs:element>\n", indent)
}

func writeAttr(b *strings.Builder, a Attr, indent string) {
	use := ""
	if a.Required {
		use = " use=\"required\""
	}
	base, restriction := baseTypes[a.Kind], restrictionOf(&a)
	if restriction == "" {
		fmt.Fprintf(b, "%s<xs:attribute name=%q type=%q%s/>\n", indent, a.Name, base, use)
		return
	}
	fmt.Fprintf(b, "%s<xs:attribute name=%q%s><xs:simpleType><xs:restriction base=%q>%s</xs:restriction>"+
		"</xs:simpleType></xs:attribute>\n", indent, a.Name, use, base, restriction)
}

// restrictionOf returns the schema's restriction to the values or bounds of an attribute, or "" if it has none that a schema can express.
func restrictionOf(a *Attr) string {
	values := a.Values
	switch {
	case a.Kind == Bool:
		values = []string{"true", "false"}
	case a.Kind == Enum:
	case (a.Kind == Number || a.Kind == Integer) && (a.Min != 0 || a.Max != 0):
		return fmt.Sprintf("<xs:minInclusive value=%q/><xs:maxInclusive value=%q/>", a.format(a.Min), a.format(a.Max))
	default:
		return ""
	}
	var b strings.Builder
	for _, value := range values {
		fmt.Fprintf(&b, "<xs:enumeration value=%q/>", value)
	}
	return b.String()
}
