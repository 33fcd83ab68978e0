package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/go-faster/errors"
)

// lineMaxBytes is the maximum length of a log line.
const lineMaxBytes = 1 << 20

// The fields of a log line that are not printed as name=value; the request and the level are not printed at all.
const (
	fieldRequest = "Request"
	fieldNode    = "Node"
	fieldTime    = "time"
	fieldMessage = "message"
	fieldLevel   = "level"
)

// ErrUnknown is returned when no log line is about the request.
var ErrUnknown = errors.New("no line is about the request; log sampling may have omitted its lines under load")

// line holds the fields of one log line by name.
type line map[string]any

// text returns the value of a string field, or an empty string.
func (l line) text(field string) string {
	s, _ := l[field].(string)
	return s
}

// Explain reads log lines of all nodes and writes those about the request. Before the first line of a node it writes
// the node's state: the latest of its lines that belong to no request, one for each message, such as those about its
// configuration, its backend server and its stores. Text before the first brace of a line is ignored, because log
// collectors add prefixes. It returns ErrUnknown if no line is about the request.
func Explain(logs io.Reader, request string, out io.Writer) error {
	state := map[string]map[string]line{}
	described := map[string]bool{}
	found := false
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, lineMaxBytes)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		node := l.text(fieldNode)
		switch l.text(fieldRequest) {
		case "":
			if state[node] == nil {
				state[node] = map[string]line{}
			}
			state[node][l.text(fieldMessage)] = l
			continue
		case request:
		default:
			continue
		}
		found = true
		if !described[node] {
			described[node] = true
			if err := writeState(out, node, state[node]); err != nil {
				return err
			}
		}
		if err := writeLine(out, "", l); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read log lines")
	}
	if !found {
		return ErrUnknown
	}
	return nil
}

// parse returns the JSON object that begins at the first brace of b, and whether it is a log line with a message.
func parse(b []byte) (line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return nil, false
	}
	l := line{}
	decoder := json.NewDecoder(bytes.NewReader(b[i:]))
	decoder.UseNumber()
	if err := decoder.Decode(&l); err != nil {
		return nil, false
	}
	return l, l.text(fieldMessage) != ""
}

// writeState writes the lines of the node's state, the latest one last.
func writeState(out io.Writer, node string, state map[string]line) error {
	lines := make([]line, 0, len(state))
	for _, l := range state {
		lines = append(lines, l)
	}
	sort.Slice(lines, func(i, j int) bool {
		a, b := lines[i], lines[j]
		if a.text(fieldTime) != b.text(fieldTime) {
			return a.text(fieldTime) < b.text(fieldTime)
		}
		return a.text(fieldMessage) < b.text(fieldMessage)
	})
	if _, err := fmt.Fprintf(out, "node %s, before the request:\n", node); err != nil {
		return errors.Wrap(err, "write explanation")
	}
	for _, l := range lines {
		if err := writeLine(out, "    ", l); err != nil {
			return err
		}
	}
	return nil
}

// writeLine writes one line with its fields sorted by name.
func writeLine(out io.Writer, indent string, l line) error {
	names := make([]string, 0, len(l))
	for name := range l {
		switch name {
		case fieldRequest, fieldNode, fieldTime, fieldMessage, fieldLevel:
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l[name]))
	}
	if _, err := fmt.Fprintf(out, "%s%s %s: %s  %s\n", indent, l.text(fieldTime), l.text(fieldNode), l.text(fieldMessage), strings.Join(parts, " ")); err != nil {
		return errors.Wrap(err, "write explanation")
	}
	return nil
}
