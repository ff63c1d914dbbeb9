// Package jvretry bounds retries, so that a dying pool is not finished off by them.
package jvretry
