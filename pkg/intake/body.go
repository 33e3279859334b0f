package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// firstBytes is the size with which the buffer of a body begins; it doubles as bytes arrive.
const firstBytes = 4 << 10

// past is a time at which every read has ended.
var past = time.Unix(1, 0)

// Bounds are what the body of a request may take.
type Bounds struct {
	// Max is its largest size in bytes; 0 is no limit.
	Max int64
	// Until is when it must have arrived; the zero time sets none.
	Until time.Time
	// Copies is how often it is held while the request runs; 0 is once.
	Copies int64
}

// ReadBody reads the body of a request whole. The account in the request's context, if any, holds its copies until it is closed; the
// body has to arrive at a least rate then, and the request may give way until it is whole. Errors: *http.MaxBytesError, ErrNoRoom,
// ErrTooSlow, those of the connection. After an error no read of the body succeeds until the handler returns; the server discards what
// comes in the next second then, if the connection goes on.
func ReadBody(w http.ResponseWriter, r *http.Request, o Bounds) ([]byte, error) {
	if r.ContentLength == 0 {
		return []byte{}, nil
	}
	src := r.Body
	if o.Max > 0 {
		src = http.MaxBytesReader(w, r.Body, o.Max)
	}
	b := &bodyReader{account: Of(r.Context()), rc: http.NewResponseController(w), begin: time.Now(), until: o.Until}
	b.copies = b.account.affordable(max(1, o.Copies), o.Max)
	b.account.arriving()
	body, err := b.read(r, src)
	if err != nil {
		b.interrupt() // or the server would wait for the rest, to discard it
		return nil, err
	}
	if !b.account.Arrived() {
		return nil, ErrNoRoom
	}
	// Only writers of tests can't set one; their bodies are in memory.
	_ = b.rc.SetReadDeadline(time.Time{})
	b.account.wasRead()
	return body, nil
}

type bodyReader struct {
	account      *Account
	rc           *http.ResponseController
	begin, until time.Time
	// set is the deadline that is set.
	set      time.Time
	received int64
	copies   int64
}

func (b *bodyReader) read(r *http.Request, src io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			// One byte more than announced finds the end without growing.
			next := max(firstBytes, int64(2*cap(body)))
			if r.ContentLength >= 0 {
				next = min(next, r.ContentLength+1)
				next = max(next, int64(cap(body))+1)
			}
			if err := b.account.Take(r.Context(), b.copies*(next-int64(cap(body)))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, next), body...)
		}
		if err := b.account.guard(b.setDeadline, b.interrupt); err != nil {
			return nil, err
		}
		n, err := src.Read(body[len(body):cap(body)])
		body, b.received = body[:len(body)+n], b.received+int64(n)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, b.reason(err)
		}
	}
}

// setDeadline sets how long the next bytes may take.
func (b *bodyReader) setDeadline() error {
	end := b.until
	if floor := b.begin.Add(floorTime(b.received)); b.account != nil && (end.IsZero() || floor.Before(end)) {
		end = floor
	}
	if end.Equal(b.set) {
		return nil
	}
	b.set = end
	// Only writers of tests can't set one; their bodies are in memory.
	_ = b.rc.SetReadDeadline(end)
	return nil
}

func (b *bodyReader) interrupt() { _ = b.rc.SetReadDeadline(past) }

// reason tells apart why a read failed.
func (b *bodyReader) reason(err error) error {
	switch {
	case b.account.GivesWay():
		return ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.account.report("too_slow")
		return ErrTooSlow
	}
	return err
}

// CountBodies makes the bytes that a handler reads of bodies count, twice for the handler's own copy, until it returns. The handler's
// read fails with ErrNoRoom when the request gives way.
func CountBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a := Of(r.Context()); a != nil && r.Body != http.NoBody {
			r.Body = &countedBody{ReadCloser: r.Body, account: a, request: r, reader: &bodyReader{account: a, rc: http.NewResponseController(w), begin: time.Now()}}
		}
		next.ServeHTTP(w, r)
	})
}

// unknownCopies is how often a handler that isn't known holds a body.
const unknownCopies = 2

// countedBody counts what is read of it. Its request may give way only while a read waits: a handler that answers without reading on can't
// be interrupted.
type countedBody struct {
	io.ReadCloser
	account *Account
	request *http.Request
	reader  *bodyReader
	ended   bool
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	if c.ended {
		return c.ReadCloser.Read(p)
	}
	c.account.arriving()
	if err := c.account.guard(c.setDeadline, c.reader.interrupt); err != nil {
		return 0, err
	}
	n, err := c.ReadCloser.Read(p)
	c.reader.received += int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, c.reader.reason(err)
	}
	if !c.account.Arrived() {
		return 0, ErrNoRoom
	}
	if terr := c.account.Take(c.request.Context(), unknownCopies*int64(n)); terr != nil {
		return 0, terr
	}
	if errors.Is(err, io.EOF) {
		c.ended = true
		c.account.wasRead()
		if !c.reader.set.IsZero() {
			_ = c.reader.rc.SetReadDeadline(time.Time{})
		}
	}
	return n, err
}

// setDeadline sets how long the next bytes may take. On HTTP/2, where that wakes the connection, a request only gives way.
func (c *countedBody) setDeadline() error {
	if c.request.ProtoMajor > 1 {
		return nil
	}
	return c.reader.setDeadline()
}
