package jvescrow

// Reservation is the worst case of one attempt, taken out of an account until it is settled.
type Reservation struct {
	Profile string
	Tokens  int64
}
