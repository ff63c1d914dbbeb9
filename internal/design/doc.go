// Package design describes the callers' and the operators' HTTP interfaces for goa, from
// which package gen and the OpenAPI document are generated.
package design
