// Package jvsetting reads the JSON settings of a router. Unknown fields are refused, and all
// that is wrong with a file is told at once, each with its path and remedy.
package jvsetting
