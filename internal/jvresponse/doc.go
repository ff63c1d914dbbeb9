// Package jvresponse makes net/http's client strict on the responses that it reads. A response that is malformed, or that
// was reset on the way, is an error and never a response.
package jvresponse
