package jvstandin

import (
	"net/http"
	"sync"
	"time"
)

// Weights is a stand-in for the weight store, with a bandwidth shared by all readers.
type Weights struct {
	faults *FaultInjector
	// bytesPerSecond is the bandwidth of all readers together, modelBytes the size of every model.
	bytesPerSecond int64
	modelBytes     int64

	mu sync.Mutex
	// nextFree is the time until which the bandwidth is reserved.
	nextFree  time.Time
	sentBytes int64
}

// WeightsCounts are the bytes that the store sent, counted in whole chunks.
type WeightsCounts struct {
	Bytes int64 `json:"bytes"`
}

// NewWeights returns a store that sends models of modelBytes at bytesPerSecond.
func NewWeights(bytesPerSecond, modelBytes int64, faults *FaultInjector) *Weights {
	return &Weights{bytesPerSecond: bytesPerSecond, modelBytes: modelBytes, faults: faults}
}

// chunkBytes is the number of bytes sent at a time.
const chunkBytes = 64 << 10

// Handler serves models, and the store's faults and counts under /admin/.
func (ws *Weights) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /v1/weights/{model}", ws.serveModel)
	return ws.faults.Mount(api, func() any {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		return WeightsCounts{Bytes: ws.sentBytes}
	})
}

func (ws *Weights) serveModel(w http.ResponseWriter, r *http.Request) {
	data := make([]byte, chunkBytes)
	for left := ws.modelBytes; left > 0; left -= chunkBytes {
		sleep(r, ws.reserve(chunkBytes))
		if r.Context().Err() != nil {
			return
		}
		if _, err := w.Write(data[:min(left, chunkBytes)]); err != nil {
			return
		}
	}
}

// reserve reserves bandwidth for bytes and returns the delay until they may be sent.
func (ws *Weights) reserve(bytes int64) time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	now := time.Now()
	if ws.nextFree.Before(now) {
		ws.nextFree = now
	}
	ws.nextFree = ws.nextFree.Add(time.Duration(bytes) * time.Second / time.Duration(ws.bytesPerSecond))
	ws.sentBytes += bytes
	return ws.nextFree.Sub(now)
}
