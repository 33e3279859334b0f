package fsm

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// DecodeResult reads what Apply returned. It returns ErrCommand with the reason when the command was malformed.
func DecodeResult(data []byte) (*daisyhatchv1.Result, error) {
	r := &daisyhatchv1.Result{}
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("fsm: decode result: %w", err)
	}
	if r.GetError() != "" {
		return r, fmt.Errorf("%w: %s", ErrCommand, r.GetError())
	}
	return r, nil
}

func orFailed(r *daisyhatchv1.Result, err error) *daisyhatchv1.Result {
	if err != nil {
		return failed(err)
	}
	return r
}

func failed(err error) *daisyhatchv1.Result {
	return &daisyhatchv1.Result{Error: err.Error()}
}

// encode can fail only on invalid UTF-8, which commands can't carry past decoding.
func encode(r *daisyhatchv1.Result) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		data, _ = proto.Marshal(&daisyhatchv1.Result{Error: "fsm: encode result"})
	}
	return data
}
