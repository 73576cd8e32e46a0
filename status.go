package bergamotgrade

import "net/http"

// IsInterimStatus reports whether an HTTP response with the status announces another one. Status 101 does
// not: what follows it is no HTTP.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinalStatus reports whether an HTTP response with the status is an answer. Servers in trouble send
// others, which say nothing of the request.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status < 600 }
