package rawserver

import "strings"

// longBytes is more than what a node reads of a response before it passes it on.
const longBytes = 100 << 10

// EarlyResponses are responses that the server sends while the client still writes its request, by name.
func EarlyResponses() map[string]Response {
	const noLength = "HTTP/1.1 200 OK\r\n@\r\nwhole"
	long := strings.Repeat("x", longBytes)
	return map[string]Response{
		"long, no length, reset":                 {Text: "HTTP/1.1 200 OK\r\n@\r\n" + long, End: Reset, Early: true, Broken: true},
		"long, no length, half-closed":           {Text: "HTTP/1.1 200 OK\r\n@\r\n" + long, End: HalfClose, Early: true, Body: long},
		"no length, reset":                       {Text: noLength, End: Reset, Early: true, Broken: true},
		"no length, closing, reset":              {Text: "HTTP/1.1 200 OK\r\n@Connection: close\r\n\r\nwhole", End: Reset, Early: true, Broken: true},
		"no length, version 1.0, reset":          {Text: "HTTP/1.0 200 OK\r\n@\r\nwhole", End: Reset, Early: true, Broken: true},
		"error, no length, reset":                {Text: "HTTP/1.1 500 Failed\r\n@\r\nwhole", End: Reset, Early: true, Broken: true},
		"no body byte yet, reset":                {Text: "HTTP/1.1 200 OK\r\n@\r\n", End: Reset, Early: true, Broken: true},
		"short of its length, reset":             {Text: "HTTP/1.1 200 OK\r\n@Content-Length: 9\r\n\r\nwhole", End: Reset, Early: true, Broken: true},
		"short of its length, half-closed":       {Text: "HTTP/1.1 200 OK\r\n@Content-Length: 9\r\n\r\nwhole", End: HalfClose, Early: true, Broken: true},
		"last chunk missing, reset":              {Text: "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", End: Reset, Early: true, Broken: true},
		"last chunk missing, half-closed":        {Text: "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", End: HalfClose, Early: true, Broken: true},
		"no length, half-closed":                 {Text: noLength, End: HalfClose, Early: true, Body: "whole"},
		"no length, version 1.0, half-closed":    {Text: "HTTP/1.0 200 OK\r\n@\r\nwhole", End: HalfClose, Early: true, Body: "whole"},
		"no length, half-closed, then reset":     {Text: noLength, End: HalfCloseAndReset, Early: true, Body: "whole"},
		"whole by its length, kept open":         {Text: "HTTP/1.1 200 OK\r\n@Content-Length: 5\r\n\r\nwhole", Early: true, Body: "whole"},
		"whole by its length, reset":             {Text: "HTTP/1.1 200 OK\r\n@Content-Length: 5\r\n\r\nwhole", End: Reset, Early: true, Body: "whole"},
		"whole by its last chunk, then reset":    {Text: "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", End: Reset, Early: true, Body: "whole"},
		"whole by its last chunk, then kept on":  {Text: "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Early: true, Body: "whole"},
		"error, whole by its length, then reset": {Text: "HTTP/1.1 500 Failed\r\n@Content-Length: 5\r\n\r\nwhole", End: Reset, Early: true, Body: "whole"},
	}
}
