package config

// EntryName returns the name by which differences and forms address an entry.
// entry is a pointer to an entry of a section, such as *Team; for any other
// value the name is empty.
func EntryName(entry any) string {
	if e, ok := entry.(keyed); ok {
		return e.entryKey()
	}
	return ""
}
