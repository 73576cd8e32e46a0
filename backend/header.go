package backend

import "net/http"

// requestHeaders lists the request headers that are forwarded to a plain service. None
// of them carries a credential.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "Traceparent",
}

// answerHeaders lists the response headers that are forwarded to the caller.
var answerHeaders = []string{
	"Cache-Control", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location",
}

// AllowedRequestHeader returns the headers that are forwarded to a plain service.
func AllowedRequestHeader(header http.Header) http.Header {
	return filterHeader(header, requestHeaders)
}

func allowedAnswerHeader(header http.Header) http.Header {
	return filterHeader(header, answerHeaders)
}

func filterHeader(header http.Header, names []string) http.Header {
	filtered := http.Header{}
	for _, name := range names {
		if values := header.Values(name); len(values) > 0 {
			filtered[name] = values
		}
	}
	return filtered
}
