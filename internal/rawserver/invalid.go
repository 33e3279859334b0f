package rawserver

import (
	"fmt"
	"strconv"
	"strings"
)

// InvalidAnswer is an answer whose head isn't one.
type InvalidAnswer struct {
	Text string
	// Close is true when a lenient reader would take the end of the connection for the end of the body.
	Close bool
}

// invalidStatuses are the statuses of no answer; the last one is for requests that ask for another protocol.
var invalidStatuses = []string{"000 Trouble", "000", "001 Trouble", "099 Trouble", "101 Switching Protocols"}

// invalidFields are lines of a head in which the name of the field is not a token.
var invalidFields = []string{
	"X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", "X\tOdd: 1", "X\x01Odd: 1", "X\x00Odd: 1", "X\x7fOdd: 1", "X\rOdd: 1", "X\xc3\xa4Odd: 1", "X(Odd): 1", ": 1", "X-Odd",
}

// Head returns the head of an answer with a status and lines.
func Head(status string, lines ...string) string {
	return strings.Join(append([]string{"HTTP/1.1 " + status}, lines...), "\r\n") + "\r\n\r\n"
}

// Length returns the Content-Length line for a body.
func Length(body string) string { return fmt.Sprint("Content-Length: ", len(body)) }

// InvalidAnswers returns answers with a body that are valid but for their heads, which hold lines as well; refusal is the line of one that
// refuses the request. What follows some of the heads on the connection would be an answer by itself.
func InvalidAnswers(body, refusal string, lines ...string) map[string]InvalidAnswer {
	head := func(status string, more ...string) string { return Head(status, append(more, lines...)...) }
	whole := head("200 OK", Length(body)) + body
	out := make(map[string]InvalidAnswer)
	for _, status := range invalidStatuses {
		name := "status " + status
		out[name] = InvalidAnswer{Text: head(status, Length(body)) + body}
		out[name+", without a body"] = InvalidAnswer{Text: head(status, "Content-Length: 0")}
		out[name+", before an answer"] = InvalidAnswer{Text: head(status) + whole}
		out[name+", after a 103"] = InvalidAnswer{Text: Head("103 Early Hints", "Link: x") + head(status) + whole}
	}
	for _, line := range invalidFields {
		name := strconv.Quote(line)
		out[name] = InvalidAnswer{Text: head("200 OK", line, Length(body)) + body}
		out[name+", without a body"] = InvalidAnswer{Text: head("204 No Content", line)}
		out[name+" in a 103"] = InvalidAnswer{Text: Head("103 Early Hints", line) + whole}
		out[name+" in a refusal"] = InvalidAnswer{Text: head("503 Service Unavailable", refusal, line, "Content-Length: 0")}
	}
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	out["a length with a blank"] = InvalidAnswer{head("200 OK", fmt.Sprint("Content-Length : ", len(body))) + body, true}
	out["a length with a blank, and more"] = InvalidAnswer{head("200 OK", fmt.Sprint("Content-Length : ", len(body))) + body + body, true}
	out["chunks with a blank"] = InvalidAnswer{head("200 OK", "Transfer-Encoding : chunked") + chunked, true}
	out["a length, and chunks with a blank"] = InvalidAnswer{Text: head("200 OK", Length(body), "Transfer-Encoding : chunked") + chunked}
	out["two lengths"] = InvalidAnswer{Text: head("200 OK", Length(body), Length(body+body)) + body}
	return out
}
