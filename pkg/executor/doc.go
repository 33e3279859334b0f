// Package executor runs one request through the stages of its pipeline under one deadline.
//
// All decisions are made by a state machine without I/O (machine.go): it takes events and the current time, and
// returns actions. The runner (run.go) carries out the actions: it acquires slots, calls backend servers and feeds
// the results back to the machine.
//
// # What each stage receives
//
// The caller's body is the pipeline's input. The query is the text of the last message with role user; for bodies
// without messages it is the string under "input", else under "query", else the whole body as text. A content of
// several parts yields its text parts joined by newlines.
//
//	operation  body sent to the server                              read from the answer
//	embed      {"model", "input": query}                            data[0].embedding
//	retrieve   {"query", "embedding"}                               documents
//	rerank     {"query", "documents"}                               documents, or results[].index into those sent
//	chat       the caller's body with "model" and "stream" replaced  choices[0].message.content
//	http       the caller's body, method and content type untouched  the whole answer
//
// The key "embedding" is omitted when no earlier stage returned one. Documents of parallel stages are concatenated in
// the order in which the pipeline lists the stages; a rerank stage replaces all documents. A document is a string or
// an object with the key "text". A chat stage gets the documents, numbered from 1, followed by the texts of earlier
// chat stages, as one system message before the caller's messages. Its model is the stage's adapter when it has one,
// else the stage's model. A body without messages becomes one message with role user.
//
// The answer of the last step is the answer of the pipeline. When the last step has several stages, it is
// {"stages": {"<stage name>": answer}}.
package executor
