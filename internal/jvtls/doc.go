// Package jvtls makes TLS settings from certificate files, which are read again when they
// change, so that a certificate is renewed without a restart.
package jvtls
