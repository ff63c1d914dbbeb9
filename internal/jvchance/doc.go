// Package jvchance is the seeded source of random numbers that a router is given.
package jvchance
