package settings

// NewFleetKey returns a fleet key with the given secret, for settings that are created in code.
func NewFleetKey(id uint8, secret []byte) FleetKey {
	return FleetKey{ID: id, raw: secret}
}
