package backend

import "net/http"

// requestHeaders are the caller's headers that may reach a plain service. A
// credential travels in none of them.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "Traceparent",
}

// answerHeaders are a plain service's headers that may reach the caller.
var answerHeaders = []string{
	"Cache-Control", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location",
}

// AllowedRequestHeader returns the part of the header that may leave the VM.
func AllowedRequestHeader(header http.Header) http.Header {
	return pick(header, requestHeaders)
}

func allowedAnswerHeader(header http.Header) http.Header {
	return pick(header, answerHeaders)
}

func pick(header http.Header, names []string) http.Header {
	picked := http.Header{}
	for _, name := range names {
		if values := header.Values(name); len(values) > 0 {
			picked[name] = values
		}
	}
	return picked
}
