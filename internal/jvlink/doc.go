// Package jvlink measures how much of its machine's network link a process uses, and reports when
// the link is so busy that callers are better served by another machine. Routers of a zone tell each other which workspaces
// are too heavy for some of their links.
package jvlink
