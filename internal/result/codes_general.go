package result

import "net/http"

// Codes that any package may return (1000 to 1099).
const (
	Internal       Code = 1000
	BadInput       Code = 1001
	NotFound       Code = 1002
	TooLarge       Code = 1003
	NotReady       Code = 1004
	Stopping       Code = 1005
	RequestsFull   Code = 1006
	BodyTooSlow    Code = 1007
	PeerNotReached Code = 1010
	PeerLost       Code = 1011
	PeerVersion    Code = 1012
	PeerOtherCell  Code = 1013
)

func init() {
	register(
		Info{Internal, "internal", http.StatusInternalServerError, "unexpected failure"},
		Info{BadInput, "bad-input", http.StatusBadRequest, "the request can not be understood"},
		Info{NotFound, "not-found", http.StatusNotFound, "no such thing"},
		Info{TooLarge, "too-large", http.StatusRequestEntityTooLarge, "larger than the limit in settings"},
		Info{NotReady, "not-ready", http.StatusServiceUnavailable, "the process lacks members or settings"},
		Info{Stopping, "stopping", http.StatusServiceUnavailable, "the process is in a planned stop"},
		Info{RequestsFull, "requests-full", http.StatusServiceUnavailable, "the requests that are being read use up the memory for them; nothing was done"},
		Info{BodyTooSlow, "body-too-slow", http.StatusServiceUnavailable, "the body of the request did not arrive in time; nothing was done"},
		Info{PeerNotReached, "peer-not-reached", http.StatusBadGateway, "no byte was sent to the peer"},
		Info{PeerLost, "peer-lost", http.StatusBadGateway, "sent to the peer, no answer came back"},
		Info{PeerVersion, "peer-version", http.StatusBadGateway, "the peer speaks another protocol version"},
		Info{PeerOtherCell, "peer-other-cell", http.StatusBadGateway, "the peer belongs to another cell"},
	)
}
