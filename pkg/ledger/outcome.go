package ledger

import (
	"bytes"
	"strings"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// maxContentTypes is the maximum number of interned content types.
const maxContentTypes = 64

// outcome is a stored response. It takes less memory than its protobuf message.
type outcome struct {
	status      int32
	omitted     bool
	contentType string
	body        []byte
}

func (l *Ledger) newOutcome(m *daisyhatchv1.StoredOutcome) *outcome {
	return &outcome{
		status:      m.GetStatus(),
		omitted:     m.GetBodyOmitted(),
		contentType: l.internContentType(m.GetContentType()),
		body:        bytes.Clone(m.GetBody()),
	}
}

// internContentType returns the interned copy of s.
func (l *Ledger) internContentType(s string) string {
	if known, ok := l.contentTypes[s]; ok {
		return known
	}
	s = strings.Clone(s)
	if len(l.contentTypes) < maxContentTypes {
		l.contentTypes[s] = s
	}
	return s
}

func (o *outcome) toProto() *daisyhatchv1.StoredOutcome {
	if o == nil {
		return nil
	}
	return &daisyhatchv1.StoredOutcome{
		Status:      o.status,
		ContentType: o.contentType,
		Body:        o.body,
		BodyOmitted: o.omitted,
	}
}
