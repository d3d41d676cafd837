// Package apply writes configuration changes on behalf of operators. It plans the changes that bring the store
// in line with files, writes each object on the condition that its version has not changed since it was read,
// and determines after a lost answer whether a write took effect.
//
// Objects are written one by one, so a set may take effect in part if a write fails; the report lists the
// objects that were written. Services are written before the objects that refer to them, and deleted after them.
package apply
