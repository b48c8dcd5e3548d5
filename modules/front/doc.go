// Package front implements the HTTP API for clients: entry addresses, the OpenAI-compatible API and
// plain services, which are HTTP services other than model engines. It authenticates a request, resolves
// its workspace, class and pool, and passes it to a dispatch.Dispatcher.
//
// Paths:
//
//   - GET /v1/entry: daemon addresses with zone and weight, and valid_for_ms, the time in milliseconds
//     for which the response may be cached. No API key is required.
//   - POST /v1/chat/completions and /v1/completions: the OpenAI-compatible API, streaming or not.
//     The model "name:adapter" selects an adapter of a model.
//   - GET /v1/models: the models that the configuration serves.
//   - All other paths: plain services, by the route with the longest matching prefix. Method, path,
//     query, body, status and headers are forwarded unchanged.
//
// Request headers:
//
//   - Authorization: Bearer KEY. If no keys are configured, X-Chivewind-Workspace selects the
//     workspace.
//   - X-Chivewind-Class: the request class. Default: the route's, then the workspace's.
//   - X-Chivewind-Timeout: the client's time limit for the whole response, a duration such as 30s.
//   - X-Request-Id: a request id chosen by the client, up to 128 visible ASCII characters. Any other value
//     is replaced by a new id.
//   - Idempotency-Key: the request runs at most once. After any outcome other than completed, a client
//     may repeat the request with the same key and body: if the first request has finished, its stored
//     response is returned with the header Idempotency-Replayed: true.
//
// Response headers: X-Request-Id, and X-Chivewind-Outcome with one of
//
//   - completed: the response is complete.
//   - not_run: the request did not run; it can be retried after Retry-After.
//   - failed: the request ran, or may have run, and failed.
//   - unknown: a request with an Idempotency-Key may have run; it is never rerun automatically.
//
// The outcome of a streamed response is sent as a trailer. An incomplete stream ends with an event
// named error and without [DONE]; any other incomplete response ends with an aborted connection.
//
// Errors have the OpenAI format {"error": {"message", "type", "param", "code"}} with the additional
// fields outcome and retry_after_ms:
//
//	400 invalid_request, invalid_class   401 invalid_api_key        403 invalid_class
//	404 not_found, model_not_found       409 outcome_unknown        409 answer_not_kept
//	413 request_too_large                422 idempotency_key_reused
//	422 request_crashes_endpoints        502 endpoint_failed        503 overloaded
//	503 ledger_unavailable               503 no_configuration, no_entry
//	504 deadline_exceeded, endpoint_failed
package front
