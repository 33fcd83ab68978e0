// Package streamer defines the HTTP requests and responses that the parts of a
// node pass to each other, with a body that is streamed or in memory.
package streamer
