// Package jvsetting reads the JSON settings of a router. Unknown fields are rejected, and all
// errors in a file are reported at once, each with the field's path and how to correct it.
package jvsetting
