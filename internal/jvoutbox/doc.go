// Package jvoutbox delivers messages between routers on connections. It is slower than packets, which may be lost, and
// delivers while the two routers reach each other.
package jvoutbox
