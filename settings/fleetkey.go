package settings

// NewFleetKey returns a fleet key for settings that are made in code.
func NewFleetKey(id uint8, secret []byte) FleetKey {
	return FleetKey{ID: id, raw: secret}
}
