package mesh_test

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/mesh"
)

// Guards against processes of two versions that misread each other's messages during an upgrade: the version of the protocol
// is the same, and the steps of a search and the number of directory agents are part of it. A process that takes the last step
// for an earlier one returns packets that it should drop, and one that takes an earlier step for the last one drops packets that it
// should return.
func TestWireFormatIsStable(t *testing.T) {
	const encoded = "01030201" + "01020304" + "0000000000000007" + "0a020001" + // version, kind, flags, count, service, configuration, origin
		"000000000000000000000000" + // flow
		"00000001" + "00000000000000000000000000000000" + // terms with the step, latencies and load
		"0a0100010a010002" + "0a010003" + "ff" // directory agents, candidates, body
	require.Equal(t, 2, mesh.DirectoryCount)
	require.Equal(t, 2, mesh.StepAll)
	m := mesh.Message{
		Kind: mesh.KindSearch, Service: 0x01020304, ConfigVersion: 7, Origin: 0x0a020001, Step: 1, Terms: mesh.Terms{Resent: true}, Count: 1,
		Candidates:  [mesh.MaxCandidates]uint32{0x0a010003},
		Directories: [mesh.DirectoryCount]uint32{0x0a010001, 0x0a010002}, Body: []byte{0xff},
	}
	require.Equal(t, encoded, hex.EncodeToString(m.Append(nil)))
}

// Guards against two steps of a search that are one on the wire, and against a step that a process doesn't know.
func TestDirectorySteps(t *testing.T) {
	for position := range mesh.DirectorySteps {
		step := mesh.DirectoryStep(position)
		require.NotEqualValues(t, mesh.StepAll, step)
		require.Equal(t, position, mesh.DirectoryPosition(step))
	}
	require.Equal(t, mesh.DirectorySteps, mesh.DirectoryPosition(mesh.StepAll))
	require.Equal(t, mesh.DirectorySteps, mesh.DirectoryPosition(0xff))
}
