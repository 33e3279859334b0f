// Package answerhead decides what the head of a backend server's answer may hold. It is stricter than net/http, which takes some heads that are no
// answer in HTTP/1.1.
package answerhead

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that what a server sent is not the head of an answer. The connection must not be used again, and nothing is known of what
// became of the request.
var ErrInvalid = errors.New("answerhead: not the head of an answer")

// Read reads the head of the answer to a request. Interim answers before it are passed over. Its errors are those of http.ReadResponse, and
// ErrInvalid.
func Read(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if err := Check(res.StatusCode, res.Header); err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

// Check returns an error that wraps ErrInvalid unless the head of an answer, interim or not, is valid. No request asks for another protocol. A
// field whose name isn't a token makes all of the head void: net/http passes over a Content-Length or Transfer-Encoding with a blank in its name,
// and finds another end of the body.
func Check(status int, h http.Header) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrInvalid, status)
	}
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.100q", ErrInvalid, name)
		}
	}
	return nil
}
