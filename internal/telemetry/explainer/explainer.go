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

// lineMax is the longest log line that is read, in bytes.
const lineMax = 1 << 20

// The fields of a log line that have a place of their own in the story.
const (
	fieldRequest = "Request"
	fieldNode    = "Node"
	fieldTime    = "time"
	fieldMessage = "message"
	fieldLevel   = "level"
)

// ErrUnknown is returned when no line is about the request.
var ErrUnknown = errors.New("no line is about the request; it may have been left out under load")

// line is one log line.
type line map[string]any

func (l line) text(field string) string {
	s, _ := l[field].(string)
	return s
}

// Explain reads log lines and writes those about the request, each node's after what that node had last noted of its
// configuration, its backend server and its stores. Text before the first brace of a line is passed over, so that the
// lines may come with the prefixes of a collector.
func Explain(logs io.Reader, request string, to io.Writer) error {
	state := map[string]map[string]line{}
	told := map[string]bool{}
	found := false
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, lineMax)
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
		if !told[node] {
			told[node] = true
			if err := describe(to, node, state[node]); err != nil {
				return err
			}
		}
		if err := write(to, "", l); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	if !found {
		return ErrUnknown
	}
	return nil
}

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

// describe writes what the node had noted, the latest last.
func describe(to io.Writer, node string, state map[string]line) error {
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
	if _, err := fmt.Fprintf(to, "node %s, before the request:\n", node); err != nil {
		return errors.Wrap(err, "write story")
	}
	for _, l := range lines {
		if err := write(to, "    ", l); err != nil {
			return err
		}
	}
	return nil
}

// write writes one line with its fields by name.
func write(to io.Writer, indent string, l line) error {
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
	if _, err := fmt.Fprintf(to, "%s%s %s: %s  %s\n", indent, l.text(fieldTime), l.text(fieldNode), l.text(fieldMessage), strings.Join(parts, " ")); err != nil {
		return errors.Wrap(err, "write story")
	}
	return nil
}
