// Package standin holds small replacements for the system's environment, for tests, the demo and manual
// trials: the platform's object store, the fabric that sends each datagram to any entry, and an upstream.
package standin
