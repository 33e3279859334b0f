package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

func (s *session) printJSON(v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("operator: output: %w", err)
	}
	return nil
}

// printProto prints a message as JSON with its field names, zero values included.
func (s *session) printProto(m proto.Message) error {
	options := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	text, err := options.Marshal(m)
	if err != nil {
		return fmt.Errorf("operator: output: %w", err)
	}
	var b bytes.Buffer
	if err := json.Indent(&b, text, "", "  "); err != nil { // protojson's own spaces vary between builds
		return fmt.Errorf("operator: output: %w", err)
	}
	s.printf("%s\n", b.Bytes())
	return nil
}

// table prints rows in columns.
func (s *session) table(rows [][]string) {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fprintf(w, "\t")
			}
			fprintf(w, "%s", cell)
		}
		fprintf(w, "\n")
	}
	_ = w.Flush()
}

func formatTime(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).UTC().Format("2006-01-02 15:04:05Z")
}
