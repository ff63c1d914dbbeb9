// Package jvcaller is a load of callers: drafts, quick questions, live chat, lookups,
// bookings and charges, on fast and slow lines, that retry with the same key at another
// router, and check that each answer is whole and their own.
package jvcaller
