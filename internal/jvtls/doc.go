// Package jvtls creates TLS configurations from certificate files and reloads a certificate when its
// file changes, so that it can be renewed without a restart.
package jvtls
