// Package standin holds small replacements for what surrounds the system, for
// tests, the demo and trying it out by hand: the platform's object store, the
// fabric that sends each datagram to any entry, and an upstream.
package standin
