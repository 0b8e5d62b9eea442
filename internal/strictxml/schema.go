package strictxml

import (
	"fmt"
	"strings"
)

// Schema writes the XML schema of a grammar. What a schema of version 1.0 can't say (sums, references, bounds of
// durations) is left to the reader.
func Schema(root *Element) string {
	var b strings.Builder
	b.WriteString("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n")
	b.WriteString("<xs:schema xmlns:xs=\"http://www.w3.org/2001/XMLSchema\">\n")
	for _, t := range []struct{ name, pattern string }{
		{"name", "[A-Za-z0-9._-]+"},
		{"duration", "([0-9]+(\\.[0-9]*)?(ms|s|m|h))+"},
		{"address", "[^ ]*:[0-9]{1,5}"},
	} {
		fmt.Fprintf(&b, "  <xs:simpleType name=%q><xs:restriction base=\"xs:string\"><xs:pattern value=%q/>"+
			"</xs:restriction></xs:simpleType>\n", t.name, strings.ReplaceAll(t.pattern, "\\\\", "\\"))
	}
	writeElement(&b, root, "  ", true)
	b.WriteString("</xs:schema>\n")
	return strings.ReplaceAll(b.String(), "\\\\", "\\")
}

func writeElement(b *strings.Builder, e *Element, indent string, top bool) {
	occurs := ""
	if !top {
		maxOccurs := "unbounded"
		if e.MaxOccurs > 0 {
			maxOccurs = fmt.Sprint(e.MaxOccurs)
		}
		occurs = fmt.Sprintf(" minOccurs=\"%d\" maxOccurs=%q", e.MinOccurs, maxOccurs)
	}
	fmt.Fprintf(b, "%s<xs:element name=%q%s>\n%s  <xs:complexType>\n", indent, e.Name, occurs, indent)
	if len(e.Children) > 0 {
		fmt.Fprintf(b, "%s    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">\n", indent)
		for _, c := range e.Children {
			writeElement(b, c, indent+"      ", true)
		}
		fmt.Fprintf(b, "%s    </xs:choice>\n", indent)
	}
	for _, a := range e.Attrs {
		writeAttr(b, a, indent+"    ")
	}
	fmt.Fprintf(b, "%s  </xs:complexType>\n", indent)
	for _, c := range e.Children {
		if c.Key != "" {
			fmt.Fprintf(b, "%s  <xs:unique name=\"%s-%s\"><xs:selector xpath=%q/><xs:field xpath=\"@%s\"/></xs:unique>\n",
				indent, e.Name, c.Name, c.Name, c.Key)
		}
	}
	fmt.Fprintf(b, "%s</xs:element>\n", indent)
}

func writeAttr(b *strings.Builder, a Attr, indent string) {
	use := ""
	if a.Required {
		use = " use=\"required\""
	}
	base := map[Kind]string{
		Name: "name", Duration: "duration", Number: "xs:decimal", Integer: "xs:integer",
		Bool: "xs:string", Enum: "xs:string", Address: "address", Text: "xs:string",
	}[a.Kind]
	var limits strings.Builder
	switch {
	case a.Kind == Enum || a.Kind == Bool:
		values := a.Values
		if a.Kind == Bool {
			values = []string{"true", "false"}
		}
		for _, w := range values {
			fmt.Fprintf(&limits, "<xs:enumeration value=%q/>", w)
		}
	case (a.Kind == Number || a.Kind == Integer) && (a.Min != 0 || a.Max != 0):
		fmt.Fprintf(&limits, "<xs:minInclusive value=%q/><xs:maxInclusive value=%q/>", a.format(a.Min), a.format(a.Max))
	}
	if limits.Len() == 0 {
		fmt.Fprintf(b, "%s<xs:attribute name=%q type=%q%s/>\n", indent, a.Name, base, use)
		return
	}
	fmt.Fprintf(b, "%s<xs:attribute name=%q%s><xs:simpleType><xs:restriction base=%q>%s</xs:restriction>"+
		"</xs:simpleType></xs:attribute>\n", indent, a.Name, use, base, limits.String())
}
