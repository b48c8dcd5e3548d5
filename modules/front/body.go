package front

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/reqbody"
	"github.com/chivewind/chivewind/internal/reqmem"
)

const (
	// plainCopies is the number of copies of a body that are in memory while its blocks are joined.
	plainCopies = 2
	// modelCopies also includes the decoded fields and the prompt.
	modelCopies = 4
)

// requestBody is the memory of the body of one request.
type requestBody struct {
	lease *reqmem.Lease
	// unread is set if the body has not been read to its end.
	unread bool
}

func (b *requestBody) release() {
	if b.lease != nil {
		b.lease.Close()
	}
}

// bodyClaim is the claim of a body and the number of its copies that are in memory.
type bodyClaim struct {
	reqmem.Claim
	copies int64
}

// claimOf returns the claim of the body of a request.
func claimOf(r *http.Request, w config.Workspace, c config.Class, copies int64) bodyClaim {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return bodyClaim{Claim: reqmem.Claim{
		Tier: c.Tier, Workspace: w.Name, Address: host, Deadline: time.Now().Add(bodyReadTimeout), Length: r.ContentLength * copies,
	}, copies: copies}
}

// readBody reads the whole body into memory, since a retry needs it again.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, b *requestBody, c bodyClaim) ([]byte, *dispatch.Error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	limit := int64(f.options.Limits.MaxBody)
	b.lease = f.memory.Open(c.Claim, limit*modelCopies, func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(0, 1))
	})
	b.unread = true
	blocks, err := reqbody.Read(w, r, b.lease, reqbody.Options{Limit: limit, Deadline: c.Deadline, Copies: c.copies})
	switch {
	case err == nil:
		b.unread = false
	case errors.Is(err, reqbody.ErrTooLarge):
		return nil, newError(http.StatusRequestEntityTooLarge, codeTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, reqbody.ErrNoMemory):
		e := newError(http.StatusServiceUnavailable, dispatch.CodeOverloaded, "no memory for the body")
		e.RetryAfter = b.lease.RetryAfter()
		return nil, e
	default:
		return nil, newError(http.StatusBadRequest, codeInvalidRequest, "read the body: %v", err)
	}
	if len(blocks) == 1 {
		return blocks[0], nil
	}
	return bytes.Join(blocks, nil), nil
}

// RequestMemory returns the bytes that the bodies of requests hold, with their copies, and the counts of waits and
// rejections.
func (f *Front) RequestMemory() (held int64, counts reqmem.Counts) {
	all, _, counts := f.memory.Status()
	return all[reqmem.Body], counts
}

// reject answers a request that is not run. If its body has not been read, the connection is closed.
func (f *Front) reject(w http.ResponseWriter, r *http.Request, b *requestBody, e *dispatch.Error) {
	b.release()
	if b.unread {
		w.Header().Set("Connection", "close")
	} else if b.lease == nil {
		reqbody.LimitRest(w, r)
	}
	writeError(w, e, dispatch.NotRun)
	if b.unread {
		reqbody.Linger(w, r)
	}
}
