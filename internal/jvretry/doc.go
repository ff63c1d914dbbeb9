// Package jvretry limits retries, so that they do not overload a pool that is already failing.
package jvretry
