// Package apply makes the operators' writes: it plans the difference between
// files and the store, writes each object on the condition that it still has
// the version that was read, and finds out after a lost answer whether its own
// write took effect.
//
// Objects are written one by one, so a set may take effect in part when a write
// fails; the report says which objects were written. Services are written
// before what refers to them, and deleted after it.
package apply
