// Package bergamotgrade holds the domain types, the interfaces between
// packages and the error kinds of a serving system for online and batch
// inference. Implementations stand in the packages below it.
package bergamotgrade
