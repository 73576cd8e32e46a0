// Package bergamotgrade defines the domain types, the interfaces between
// packages and the error kinds of a serving system for online and batch
// inference. The packages below it implement the interfaces.
package bergamotgrade
