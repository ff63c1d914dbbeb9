package jvescrow

// Reservation holds the worst case of one attempt, in tokens, until it is settled.
type Reservation struct {
	Profile string
	Tokens  int64
}
