// Package jvend says how a response ended and by what evidence. A hop that passes a response on passes its end on as it
// knows it, and never as more.
package jvend
