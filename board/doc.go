// Package board provides the blackboard of a process, its shared state: sharded maps of immutable values that
// controllers read, write and subscribe to.
//
//	members := board.NewSection[uint64, Record](board.Config[uint64]{Hash: hash})
//	members.Put(1, rec)
//	changed := members.Subscribe(ctx)
package board
