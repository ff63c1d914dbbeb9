// Package jvsign shares between routers which targets have announced in responses that they leave. Messages may be lost, and
// routers of earlier builds drop them.
package jvsign
