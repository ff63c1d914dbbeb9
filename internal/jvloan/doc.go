// Package jvloan lets many routers share prepaid budgets that few of them hold. In each availability zone some routers,
// the holders, run an allocator; the others reserve at a holder by messages, which may be lost, doubled and reordered.
package jvloan
