// Package settings parses and validates the TOML documents that configure daemons, gateways and the fleet.
package settings

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// document collects the findings of one TOML document. Its lines maps each key to the line on which it is defined.
type document struct {
	file     string
	lines    map[string]int
	findings Findings
}

// decode decodes a document into a value, and collects syntax errors and unknown keys as findings.
func decode(file, text string, value any) *document {
	doc := &document{file: file, lines: keyLines(text)}
	err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(value)
	var strict *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		for index := range strict.Errors {
			doc.addDecodeError(&strict.Errors[index], "unknown key")
		}
	case errors.As(err, &syntax):
		doc.addDecodeError(syntax, strings.TrimPrefix(syntax.Error(), "toml: "))
	case err != nil:
		doc.findings = append(doc.findings, Finding{File: file, Text: err.Error()})
	}
	return doc
}

func (doc *document) addDecodeError(decodeErr *toml.DecodeError, text string) {
	line, _ := decodeErr.Position()
	key := strings.Join(decodeErr.Key(), ".")
	doc.findings = append(doc.findings, Finding{File: doc.file, Line: line, Key: key, Text: text})
}

// check adds a finding at a key unless the condition holds.
func (doc *document) check(holds bool, key, format string, arguments ...any) {
	if holds {
		return
	}
	doc.findings = append(doc.findings, Finding{
		File: doc.file,
		Line: doc.line(key),
		Key:  key,
		Text: fmt.Sprintf(format, arguments...),
	})
}

// err returns the findings as an error; nil if there are none.
func (doc *document) err() error {
	if len(doc.findings) == 0 {
		return nil
	}
	return doc.findings
}

// line returns the line of a key. For a missing key it returns the line of the closest enclosing table that is present,
// and zero if there is none.
func (doc *document) line(key string) int {
	for key != "" {
		if line, found := doc.lines[key]; found {
			return line
		}
		key = key[:max(0, strings.LastIndex(key, "."))]
	}
	return 0
}

// keyLines returns the line of each key, because the decoder reports lines for its own errors only. Elements of table
// arrays are numbered from zero, as in pool[0].name.
func keyLines(text string) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	table := ""
	for index, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			table = arrayElement(strings.Trim(line, "[] \t"), counts)
			lines[table] = index + 1
		case strings.HasPrefix(line, "["):
			table = strings.Trim(line, "[] \t")
			lines[table] = index + 1
		case strings.Contains(line, "=") && !strings.HasPrefix(line, "#"):
			key, _, _ := strings.Cut(line, "=")
			lines[joinKey(table, strings.TrimSpace(key))] = index + 1
		}
	}
	return lines
}

// arrayElement returns the key of a new element of a table array, such as pool[1].route[0]. A nested array belongs to
// the latest element of its parent. counts holds the number of elements of each array so far and is updated.
func arrayElement(name string, counts map[string]int) string {
	parent, last := "", name
	if at := strings.LastIndex(name, "."); at >= 0 {
		parentName := name[:at]
		parent = fmt.Sprintf("%s[%d]", parentName, counts[parentName]-1)
		last = name[at+1:]
	}
	path := joinKey(parent, last)
	index := counts[path]
	counts[path]++
	return fmt.Sprintf("%s[%d]", path, index)
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
