package fleet

// TestCodec exports testCodec to external tests, which import packages that depend on package fleet.
var TestCodec = testCodec
