// Package strictini loads INI text with the lenient features of the INI library
// turned off: there is no line continuation and no inheritance between sections,
// and repeated sections and keys are kept, so that the caller can report them.
package strictini

import (
	"strings"

	"gopkg.in/ini.v1"
)

// Load returns the sections of INI text. The error describes the first syntax error.
func Load(text []byte) ([]*ini.Section, error) {
	file, err := load(text)
	if err != nil {
		return nil, err
	}
	sections := file.Sections()
	if len(sections[0].Keys()) == 0 {
		sections = sections[1:] // the unnamed section, which the library always adds
	}
	return sections, nil
}

func load(text []byte) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00", // no inheritance between sections
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}, text)
}

// JoinMessages returns the messages of a list of errors, one per line, for the Error
// method of the list.
func JoinMessages[E error](errs []E) string {
	lines := make([]string, len(errs))
	for i, err := range errs {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// AsErrors converts a list of errors of one type to []error, for the Unwrap method of
// the list, so that errors.Is and errors.As find each of them.
func AsErrors[E error](errs []E) []error {
	list := make([]error, len(errs))
	for i, err := range errs {
		list[i] = err
	}
	return list
}
