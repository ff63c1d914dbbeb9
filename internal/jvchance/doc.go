// Package jvchance provides the seeded source of a router's random numbers.
package jvchance
