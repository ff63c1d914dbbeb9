// Package jvcaller is a load generator that acts as callers of the routers. It sends drafts,
// quick questions, chats, lookups, bookings and charges over fast and slow connections,
// retries with the same key at another router, and checks that each answer is complete and
// belongs to its request.
package jvcaller
