// Package standin has small stand-ins for the systems around endiveflow, for
// tests, the demo and trials by hand.
package standin
