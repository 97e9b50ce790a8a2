package crashcause

// Sizes returns how much a tracker holds.
func (t *Tracker) Sizes() (crashes, suspects, groups int) {
	return len(t.crashes), len(t.suspects), len(t.groups)
}
