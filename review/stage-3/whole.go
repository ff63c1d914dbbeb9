package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// whole: generations that are answered whole, not as streams.
func whole() {
	const prepaid, prompt, output = 200000, 100, 400
	s := newStore()
	for n := range 2 {
		newServer(s, fmt.Sprint("i-e", n+1), "engines", "v1", true).gap = time.Millisecond
	}
	r := deploy(s, 2, prepaid)
	time.Sleep(3 * time.Second)
	var got atomic.Int64
	refused := 0
	for n := 0; n < 1500 && refused < 20; n++ {
		q := draft(prompt, output)
		if trouble {
			q.method, q.path = http.MethodPost, "/ask/x"
		}
		a := call(r[n%len(r)].front, q)
		switch {
		case a.status != http.StatusOK:
			refused++
			time.Sleep(200 * time.Millisecond)
			continue
		case trouble:
			got.Add(int64(prompt + strings.Count(a.body, "word ")))
		default:
			got.Add(int64(prompt + len(a.events())*stride))
		}
		refused = 0
	}
	if got.Load() > prepaid {
		broken("the tenant got %d tokens, and its prepaid is %d", got.Load(), prepaid)
	}
	held("the tenant got %d tokens, and its prepaid is %d", got.Load(), prepaid)
}
