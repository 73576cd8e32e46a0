package memory

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Bodies reads the bodies of requests within the account and a minimum of progress.
type Bodies struct {
	account  *Account
	progress Progress
}

// Progress is the number of bytes of a body that have to arrive in each window.
type Progress struct {
	Bytes  int64
	Window time.Duration
}

// NewBodies returns a reader of bodies.
func NewBodies(account *Account, progress Progress) *Bodies {
	return &Bodies{account: account, progress: progress}
}

// Begin bounds what net/http reads of a body that the handler does not read. It is called before
// anything else is done with the request.
func (b *Bodies) Begin(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		// The error tells that the writer has no connection, as in tests.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(b.progress.Window))
	}
}

// Holding returns the holding of a request whose body the caller reads by itself; done ends it.
func (b *Bodies) Holding(r *http.Request) (holding *Holding, done func()) {
	return b.account.Of(r.Context())
}

// Read reads the body of at most limit bytes until the deadline. It fails with ErrTooLarge,
// ErrNoRoom, os.ErrDeadlineExceeded or an error of the connection; the connection is then closed
// after the response. The caller calls release when it no longer needs the body.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (data []byte, holding *Holding, release func(), err error) {
	holding, done := b.account.Of(r.Context())
	if r.Body == nil || r.Body == http.NoBody {
		return nil, holding, pin(holding, 0, done), nil
	}
	reader := &progressReader{body: r.Body, control: http.NewResponseController(w), progress: b.progress, deadline: deadline}
	data, err = ReadAll(reader, holding, r.ContentLength, limit)
	if err == nil {
		_ = reader.control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		if err == ErrNoRoom {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		}
		done()
		return nil, holding, func() {}, err
	}
	return data, holding, pin(holding, int64(cap(data)), done), nil
}

// pin keeps the connection of a request that was received whole: a server may be running it from now on. The
// returned function undoes this and releases what is held of the body.
func pin(holding *Holding, held int64, done func()) (release func()) {
	holding.Pin(true)
	return func() {
		holding.Pin(false)
		holding.Release(held)
		done()
	}
}

// progressReader fails if fewer bytes than required arrive in a window, or after the deadline.
type progressReader struct {
	body     io.Reader
	control  *http.ResponseController
	progress Progress
	deadline time.Time
	// windowEnd is the end of the current window, in which the bytes have arrived.
	windowEnd time.Time
	bytes     int64
}

// Read implements io.Reader.
func (p *progressReader) Read(data []byte) (int, error) {
	if p.windowEnd.IsZero() || p.bytes >= p.progress.Bytes {
		p.windowEnd, p.bytes = time.Now().Add(p.progress.Window), 0
		if p.deadline.Before(p.windowEnd) {
			p.windowEnd = p.deadline
		}
		// Without a connection, as in tests, nothing bounds the reads.
		_ = p.control.SetReadDeadline(p.windowEnd)
	}
	n, err := p.body.Read(data)
	p.bytes += int64(n)
	return n, err
}

// Handler returns a handler that reads each body whole, of at most limit bytes within timeout,
// before next sees the request. decoded is how often the body is held besides, for example
// decoded. refuse responds to requests whose bodies cannot be read.
func (b *Bodies) Handler(next http.Handler, limit, decoded int64, timeout time.Duration, refuse func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, holding, release, err := b.Read(w, r, limit, time.Now().Add(timeout))
		if err != nil {
			refuse(w, err)
			return
		}
		defer release()
		copies := decoded * int64(len(data))
		if err := holding.Reserve(copies); err != nil {
			refuse(w, err)
			return
		}
		defer holding.Release(copies)
		if data != nil {
			r.Body = io.NopCloser(bytes.NewReader(data))
		}
		next.ServeHTTP(w, r)
	})
}
