// Package front is the callers' HTTP API: entry addresses, the OpenAI-compatible API and plain
// services. It authenticates a request, resolves its workspace, class and pool, and hands it to a
// dispatch.Dispatcher.
//
// Paths:
//
//   - GET /v1/entry: addresses of daemons with zone and weight, and valid_for_ms, the time for which
//     the answer may be kept. It needs no key.
//   - POST /v1/chat/completions and /v1/completions: the OpenAI-compatible API, whole or streamed.
//     The model "name:adapter" selects an adapter of a model.
//   - GET /v1/models: the models that the configuration serves.
//   - All other paths: plain services, by the route with the longest prefix. Method, path, query,
//     body, status and headers are passed as they are.
//
// Headers of a request:
//
//   - Authorization: Bearer KEY. Without any keys in the configuration, X-Chivewind-Workspace names
//     the workspace.
//   - X-Chivewind-Class: the request class. Default: the route's, then the workspace's.
//   - X-Chivewind-Timeout: a duration such as 30s after which the answer is of no use.
//   - X-Request-Id: an id of the caller's choice, up to 128 printable characters.
//   - Idempotency-Key: the request runs at most once. Repeat it with the same key and body after any
//     answer but completed: a finished request returns its stored answer, marked with
//     Idempotency-Replayed: true.
//
// Headers of an answer: X-Request-Id, and X-Chivewind-Outcome with one of
//
//   - completed: the answer is whole.
//   - not_run: the request did not run; repeat it after Retry-After.
//   - failed: it ran, or may have run, and failed.
//   - unknown: a request with an Idempotency-Key may have run; it is never run again by itself.
//
// The outcome of a streamed answer is a trailer. A stream that is not whole ends with an event named
// error and without [DONE]; other answers that are not whole end with a broken connection.
//
// Errors have the OpenAI form {"error": {"message", "type", "param", "code"}} with the additional
// fields outcome and retry_after_ms:
//
//	400 invalid_request, invalid_class   401 invalid_api_key        403 invalid_class
//	404 not_found, model_not_found       409 outcome_unknown        409 answer_not_kept
//	413 request_too_large                422 idempotency_key_reused
//	422 request_crashes_endpoints        502 endpoint_failed        503 overloaded
//	503 ledger_unavailable               503 no_configuration, no_entry
//	504 deadline_exceeded, endpoint_failed
package front
