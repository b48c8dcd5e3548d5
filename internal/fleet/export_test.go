package fleet

// TestCodec is the codec of the tests, for those that import packages which import this one.
var TestCodec = testCodec
