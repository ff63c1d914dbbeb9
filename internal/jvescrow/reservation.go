package jvescrow

// Reservation holds the worst case of one attempt, in tokens, until it is settled.
type Reservation struct {
	Profile string
	Tokens  int64
	// Loan identifies the tokens if another router holds them; 0 if this VM does.
	Loan uint64
	// Draw identifies the tokens if they are a part of a reservation made in advance at another router; 0 if not.
	Draw uint64
}
