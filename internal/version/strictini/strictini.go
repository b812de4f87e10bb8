// Package strictini loads INI text with the lenient features of the INI library
// turned off: there is no line continuation and no inheritance between sections,
// and repeated sections and keys are kept, so that the caller can report them.
package strictini

import (
	"strings"

	"gopkg.in/ini.v1"
)

// Load returns the sections of INI text. The error describes the syntax fault.
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

// JoinMessages returns the messages of the faults, one per line, for the Error method of
// a list of faults.
func JoinMessages[E error](faults []E) string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// AsErrors returns the faults as a list of errors, for the Unwrap method of a list of
// faults, so that errors.Is and errors.As find each of them.
func AsErrors[E error](faults []E) []error {
	list := make([]error, len(faults))
	for i, fault := range faults {
		list[i] = fault
	}
	return list
}
