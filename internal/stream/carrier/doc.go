// Package carrier holds requests and answers whose bodies are streamed, as
// the parts of a node hand them to each other.
package carrier
