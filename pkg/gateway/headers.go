package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// Request headers.
const (
	// HeaderDeadline is the time until the request's deadline, in milliseconds from its arrival.
	HeaderDeadline = "X-Daisyhatch-Deadline-Ms"
	// HeaderPriority is the priority of the request, from 0 to 9.
	HeaderPriority = "X-Daisyhatch-Priority"
	// HeaderNotRepeatable is "true" if the request must not run twice.
	HeaderNotRepeatable = "X-Daisyhatch-Not-Repeatable"
	// HeaderIdempotencyKey identifies a not-repeatable request; a retry must carry the same key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderKeyCreated is the time at which the caller created the idempotency key, in Unix milliseconds.
	HeaderKeyCreated = "X-Daisyhatch-Key-Created-Ms"
)

// Response headers.
const (
	// HeaderRequestID is the request ID that log lines carry as well.
	HeaderRequestID = "X-Daisyhatch-Request-Id"
	// HeaderRun says whether a failed request may have run: not_run or may_have_run.
	HeaderRun = "X-Daisyhatch-Run"
	// HeaderStages holds the duration and cost of each stage, in the format of formatStages.
	HeaderStages = "X-Daisyhatch-Stages"
)

// MaxIdempotencyKeyBytes is the largest length of an idempotency key.
const MaxIdempotencyKeyBytes = 256

// maxPriority is the highest value of HeaderPriority.
const maxPriority = 9

// defaultPriority is the priority of requests without HeaderPriority.
const defaultPriority = 5

// callOptions are the options of a request, read from its headers.
type callOptions struct {
	deadline       time.Duration
	priority       int
	notRepeatable  bool
	idempotencyKey string
	keyCreated     time.Time
}

// readOptions reads the options from the request headers. The deadline is capped at maxDeadline, the priority at the highest
// that organisation o may use. It returns an *apierr.Error with code bad_request or idempotency_key_required.
func readOptions(h http.Header, maxDeadline time.Duration, o *config.Organisation) (callOptions, error) {
	c := callOptions{deadline: maxDeadline}
	var err error
	if c.deadline, err = readDeadline(h, maxDeadline); err != nil {
		return c, err
	}
	if c.priority, err = readPriority(h, o.MaxPriority); err != nil {
		return c, err
	}
	if c.notRepeatable, err = readBool(h, HeaderNotRepeatable); err != nil {
		return c, err
	}
	c.idempotencyKey = h.Get(HeaderIdempotencyKey)
	if len(c.idempotencyKey) > MaxIdempotencyKeyBytes {
		return c, headerError(HeaderIdempotencyKey, "is longer than %d bytes", MaxIdempotencyKeyBytes)
	}
	if c.notRepeatable && c.idempotencyKey == "" {
		return c, keyRequiredError()
	}
	c.keyCreated, err = readKeyCreated(h)
	return c, err
}

func readDeadline(h http.Header, maxDeadline time.Duration) (time.Duration, error) {
	v := h.Get(HeaderDeadline)
	if v == "" {
		return maxDeadline, nil
	}
	ms, err := strconv.ParseInt(v, 10, 32)
	if err != nil || ms <= 0 {
		return 0, headerError(HeaderDeadline, "must be a whole number of milliseconds above 0")
	}
	return min(maxDeadline, time.Duration(ms)*time.Millisecond), nil
}

func readPriority(h http.Header, highestAllowed int) (int, error) {
	v := h.Get(HeaderPriority)
	if v == "" {
		return min(defaultPriority, highestAllowed), nil
	}
	p, err := strconv.Atoi(v)
	if err != nil || p < 0 || p > maxPriority {
		return 0, headerError(HeaderPriority, "must be a whole number from 0 to %d", maxPriority)
	}
	return min(p, highestAllowed), nil
}

func readBool(h http.Header, name string) (bool, error) {
	v := h.Get(name)
	if v == "" {
		return false, nil
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		return false, headerError(name, "must be true or false")
	}
	return b, nil
}

func readKeyCreated(h http.Header) (time.Time, error) {
	v := h.Get(HeaderKeyCreated)
	if v == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, headerError(HeaderKeyCreated, "must be Unix milliseconds")
	}
	return time.UnixMilli(ms), nil
}

func keyRequiredError() error {
	return apierr.New(http.StatusBadRequest, apierr.IdempotencyRequired,
		"a request that is not repeatable needs the header %s", HeaderIdempotencyKey)
}

// headerError returns a bad_request error whose message begins with the header's name.
func headerError(name, format string, args ...any) error {
	e := apierr.New(http.StatusBadRequest, apierr.BadRequest, format, args...)
	e.Message = "header " + name + " " + e.Message
	return e
}
