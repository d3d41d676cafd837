package packettest

// RestartProcesses starts all processes anew, beside running hosts.
func (f *Fleet) RestartProcesses() {
	for _, a := range f.Agents {
		f.StartAgent(a)
	}
	for _, e := range f.Entries {
		f.StartEntry(e)
	}
}
