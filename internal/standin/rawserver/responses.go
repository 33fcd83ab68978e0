package rawserver

import (
	"fmt"
	"strings"
)

// Responses are broken and valid responses, by name.
func Responses() map[string]Response {
	all := validResponses()
	for _, broken := range []map[string]string{brokenVersions(), brokenStatuses(), brokenInterim(), brokenNames(), brokenValues(), brokenFraming()} {
		for name, text := range broken {
			all["broken "+name] = Response{
				Text:   text,
				End:    HalfClose,
				Broken: true,
			}
		}
	}
	return all
}

const (
	wholeBody   = "Content-Length: 5\r\n\r\nwhole"
	wholeChunks = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	statusLine  = "HTTP/1.1 200 OK\r\n"
	valid       = statusLine + "@" + wholeBody
)

// controlBytes are bytes that neither a value nor a reason may hold.
var controlBytes = []byte("\x00\x01\x07\x08\x0b\x0c\r\x1b\x1f\x7f")

func validResponses() map[string]Response {
	texts := map[string]string{
		"length":                   valid,
		"chunks":                   statusLine + "@" + wholeChunks,
		"chunk extension":          statusLine + "@Transfer-Encoding: Chunked\r\n\r\n5;a=\"b\"\r\nwhole\r\n000\r\n\r\n",
		"trailer":                  statusLine + "@Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-T: 1\r\n\r\n",
		"trailer, not announced":   statusLine + "@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-T: 1\r\nX-U: 2\r\n\r\n",
		"length and chunks":        statusLine + "@Content-Length: 99\r\n" + wholeChunks,
		"equal lengths":            statusLine + "@Content-Length: 5\r\n" + wholeBody,
		"no reason":                "HTTP/1.1 200 \r\n@" + wholeBody,
		"no blank behind status":   "HTTP/1.1 200\r\n@" + wholeBody,
		"reason in another script": "HTTP/1.1 200 \xd0\xb4\xd0\xb0\tOK\r\n@" + wholeBody,
		"unknown status":           "HTTP/1.1 599 Odd\r\n@" + wholeBody,
		"bare line feeds":          "HTTP/1.1 200 OK\n@Content-Length: 5\n\nwhole",
		"all bytes of a token":     statusLine + "@X!#$%&'*+-.^_`|~9: 1\r\n" + wholeBody,
		"other case":               statusLine + "@content-LENGTH: 5\r\n\r\nwhole",
		"no value":                 statusLine + "@X-A:\r\n" + wholeBody,
		"blanks around value":      statusLine + "@X-A: \t 1 \t \r\nContent-Length:5 \r\n\r\nwhole",
		"value of other bytes":     statusLine + "@X-A: \x80\xff \"(),/:;<=>?@[\\]{}\r\n" + wholeBody,
		"folded value":             statusLine + "@X-A: 1\r\n  2\r\n" + wholeBody,
		"interim":                  "HTTP/1.1 100 Continue\r\n\r\n" + valid,
		"interim with fields":      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + valid,
		"several interim":          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 \r\nX: 1\r\n\r\n" + valid,
		"version 1.0":              "HTTP/1.0 200 OK\r\n@" + wholeBody,
		"many interim":             strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 30) + valid,
		"version 1.2":              "HTTP/1.2 200 OK\r\n@" + wholeBody,
		"version 1.0, kept open":   "HTTP/1.0 200 OK\r\n@Connection: Keep-Alive\r\n" + wholeBody,
	}
	all := map[string]Response{
		"no content":                    {Text: "HTTP/1.1 204 No Content\r\n@\r\n"},
		"no content, but a length":      {Text: "HTTP/1.1 204 No Content\r\n@Content-Length: 5\r\n\r\n"},
		"ended by the close":            {Text: statusLine + "@\r\nwhole", End: HalfClose, Body: "whole"},
		"version 1.0, ended by a close": {Text: "HTTP/1.0 200 OK\r\n@\r\nwhole", End: HalfClose, Body: "whole"},
	}
	for name, text := range texts {
		all[name] = Response{
			Text: text,
			Body: "whole",
		}
	}
	return all
}

// brokenVersions are responses of no version of HTTP that a client of HTTP/1.1 can read.
func brokenVersions() map[string]string {
	texts := map[string]string{}
	for _, version := range []string{"HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/3.1", "HTTP/9.9", "HTTP/1", "HTTP/1.", "HTTP/1.10", "HTTP/01.1", "http/1.1", "HTTP/1,1", "HTTP 1.1", "ICY"} {
		texts["version "+version] = version + " 200 OK\r\n@" + wholeBody
		texts["version "+version+" of an interim"] = version + " 102 Processing\r\n\r\n" + valid
	}
	return texts
}

// brokenStatuses are responses whose status is none, or whose reason holds a byte that it may not.
func brokenStatuses() map[string]string {
	texts := map[string]string{}
	for _, status := range []string{"", "000", "001", "099", "600", "700", "999", "+20", "-20", "-00", "20", "2000", "2x0", "0200", "OK"} {
		texts["status "+status] = "HTTP/1.1 " + status + " OK\r\n@" + wholeBody
		texts["status "+status+" at first"] = "HTTP/1.1 " + status + " OK\r\n\r\n" + valid
	}
	for _, b := range controlBytes {
		texts[fmt.Sprintf("byte %#02x in the reason", b)] = "HTTP/1.1 200 O" + string([]byte{b}) + "K\r\n@" + wholeBody
		texts[fmt.Sprintf("byte %#02x in the reason of an interim", b)] = "HTTP/1.1 102 O" + string([]byte{b}) + "K\r\n\r\n" + valid
	}
	return texts
}

// brokenInterim are interim responses that end the use of HTTP, or that hold a body.
func brokenInterim() map[string]string {
	return map[string]string{
		"switch of protocols":                  "HTTP/1.1 101 Switching Protocols\r\n@Connection: Upgrade\r\nUpgrade: other\r\n\r\nwhole",
		"switch of protocols ahead of another": "HTTP/1.1 101 Switching Protocols\r\n\r\n" + valid,
		"interim with a body":                  "HTTP/1.1 103 Early Hints\r\n" + wholeBody + "\r\n" + valid,
		"interim alone":                        "HTTP/1.1 103 Early Hints\r\n@\r\n",
	}
}

// brokenNames are responses with a byte in the name of a field that no name may hold.
func brokenNames() map[string]string {
	texts := map[string]string{
		"no name":                    statusLine + "@: 1\r\n" + wholeBody,
		"no colon":                   statusLine + "@X\r\n" + wholeBody,
		"trailer behind a long body": statusLine + "@Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", longBytes) + strings.Repeat("x", longBytes) + "\r\n0\r\nX : 1\r\n\r\n",
		"trailer announced":          statusLine + "@Trailer: X Y\r\n" + wholeChunks,
		"blank at the start":         statusLine + " X: 1\r\n@" + wholeBody,
	}
	for _, b := range []byte("\x00\x01\x07\x08\t\x0b\x0c\r\x1b\x1f \"(),/;<=>?@[\\]{}\x7f\x80\xff") {
		name := fmt.Sprintf("byte %#02x ", b)
		texts[name+"in a name"] = statusLine + "@X" + string([]byte{b}) + "Y: 1\r\n" + wholeBody
		if b == '@' { // stands for the fields that the client expects
			continue
		}
		texts[name+"behind a name"] = statusLine + "@X" + string([]byte{b}) + ": 1\r\n" + wholeBody
		texts[name+"behind Content-Length"] = statusLine + "@Content-Length" + string([]byte{b}) + ": 5\r\n\r\nwhole"
		texts[name+"behind Transfer-Encoding"] = statusLine + "@Transfer-Encoding" + string([]byte{b}) + ": chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
		texts[name+"in an interim name"] = "HTTP/1.1 103 Early Hints\r\nX" + string([]byte{b}) + ": 1\r\n\r\n" + valid
		texts[name+"in a trailer name"] = statusLine + "@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX" + string([]byte{b}) + ": 1\r\n\r\n"
	}
	return texts
}

// brokenValues are responses with a byte in the value of a field that no value may hold.
func brokenValues() map[string]string {
	texts := map[string]string{}
	for _, b := range controlBytes {
		name := fmt.Sprintf("byte %#02x ", b)
		texts[name+"in a value"] = statusLine + "@X: 1" + string([]byte{b}) + "2\r\n" + wholeBody
		texts[name+"in a length"] = statusLine + "@Content-Length: 5" + string([]byte{b}) + "\r\n\r\nwhole"
		texts[name+"in an interim value"] = "HTTP/1.1 103 Early Hints\r\nX: 1" + string([]byte{b}) + "2\r\n\r\n" + valid
		texts[name+"in a trailer value"] = statusLine + "@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: 1" + string([]byte{b}) + "2\r\n\r\n"
	}
	return texts
}

// brokenFraming are responses whose end is not known.
func brokenFraming() map[string]string {
	texts := map[string]string{
		"encoding of version 1.0":                   "HTTP/1.0 200 OK\r\n@" + wholeChunks,
		"encoding and length of version 1.0":        "HTTP/1.0 200 OK\r\n@Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nwhole",
		"no encoding of version 1.0":                "HTTP/1.0 200 OK\r\n@Transfer-Encoding:\r\n" + wholeBody,
		"encoding of version 1.0 behind an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n@" + wholeChunks,
		"lengths":                    statusLine + "@Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
		"encodings":                  statusLine + "@Transfer-Encoding: chunked\r\n" + wholeChunks,
		"chunk without its end":      statusLine + "@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole0\r\n\r\n",
		"chunk size and a line feed": statusLine + "@Transfer-Encoding: chunked\r\n\r\n5\nwhole\r\n0\r\n\r\n",
		"trailer without a colon":    statusLine + "@Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX\r\n\r\n",
	}
	for _, length := range []string{"", "x", "-5", "+5", "5.0", "0x5", "5 5", "5, 6", "99999999999999999999"} {
		texts["length "+length] = statusLine + "@Content-Length: " + length + "\r\n\r\nwhole"
	}
	for _, coding := range []string{"", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "xchunked", "chunked;q=1"} {
		texts["encoding "+coding] = statusLine + "@Transfer-Encoding: " + coding + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	}
	for _, size := range []string{"", "g", "-5", "+5", "0x5", " 5", "5 5", "FFFFFFFFFFFFFFFFF"} {
		texts["chunk size "+size] = statusLine + "@Transfer-Encoding: chunked\r\n\r\n" + size + "\r\nwhole\r\n0\r\n\r\n"
	}
	return texts
}
