package mesh_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/mesh"
)

// Guards against two services that are taken for one because their names have the same tag.
func TestServicesWithEqualTags(t *testing.T) {
	first, second := mesh.ServiceIDOf("kuwa46a"), mesh.ServiceIDOf("bawu92b")
	require.Equal(t, first.Tag, second.Tag)
	require.False(t, first.Matches(second))
	require.True(t, first.Matches(mesh.ServiceIDOf("kuwa46a")))
	require.False(t, first.Matches(mesh.ServiceIDOf("bawu93b")))
}

// Guards against messages of processes of earlier versions, which identify services by their tags alone, that are dropped while
// machines are replaced one after the other, and against messages to these that have lost the tag.
func TestServiceInMessagesOfOtherVersions(t *testing.T) {
	id := mesh.ServiceIDOf("kuwa46a")
	former := mesh.Message{Kind: mesh.KindOffer, Service: id.Tag, Count: 1}
	var m mesh.Message
	require.NoError(t, m.Decode(former.Append(nil)))
	require.True(t, m.ServiceID().Matches(id))
	require.False(t, m.ServiceID().Matches(mesh.ServiceIDOf("bawu93b")))
	m.SetService(id)
	require.NoError(t, m.Decode(m.Append(nil)))
	require.Equal(t, id, m.ServiceID())
	require.Equal(t, mesh.ServiceTag("kuwa46a"), m.Service)
}
