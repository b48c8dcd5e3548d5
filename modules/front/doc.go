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
//     query, body and status are forwarded unchanged. Headers are forwarded except for hop-by-hop headers,
//     Host, Expect and, in requests, Authorization. X-Request-Id and X-Chivewind-Workspace are set in the forwarded
//     request, X-Request-Id and X-Chivewind-Outcome in the response.
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
//     may repeat the request with the same key and body. If no request with the key has run, the repeated
//     one runs. If the first request is still running, the repeated one waits for it, for a limited time.
//     If the first request has finished, its stored response is returned with the header
//     Idempotency-Replayed: true, or 409 answer_not_kept if the response was not stored. If it may have
//     run and its outcome is not recorded, the response is 409 outcome_unknown.
//
// Response headers: X-Request-Id, and X-Chivewind-Outcome with one of
//
//   - completed: the response is complete. With 409 answer_not_kept, the first request with the key has
//     finished.
//   - not_run: the request did not run. If the response has a Retry-After header, the request can be sent
//     again after that time.
//   - failed: the request ran, or may have run, and failed.
//   - unknown: a request with an Idempotency-Key may have run; it is never rerun automatically.
//
// The outcome is sent as a trailer if it is not known when the response begins, as for a stream or a response
// that is too large to be buffered. An incomplete stream of the OpenAI-compatible API ends with an event named
// error and without [DONE]; any other incomplete response ends with an aborted connection.
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
//
// Codes whose names do not explain them:
//
//   - invalid_class: the class is not in the active preset (400), or the workspace may not use it (403).
//   - outcome_unknown: a request with the key may have run; no outcome is recorded.
//   - answer_not_kept: the first request with the key has run, but its response was not stored.
//   - idempotency_key_reused: the key was used with another request.
//   - request_crashes_endpoints: the request is not run again, because endpoints crashed when running it.
//   - endpoint_failed: the last attempt failed (502), or its endpoint exceeded a time limit (504).
//   - ledger_unavailable: the ledger, which records the requests with an Idempotency-Key, could not be read
//     or updated.
//   - no_configuration: the daemon has not loaded a configuration yet.
//   - no_entry: the daemon has no current list of entry addresses; only for GET /v1/entry.
package front
