package config

// EntryName returns the name by which patches and the console address an entry
// of a section. entry is a pointer to it, such as a *Team; for any other value
// the name is empty.
func EntryName(entry any) string {
	if e, ok := entry.(keyed); ok {
		return e.entryKey()
	}
	return ""
}
