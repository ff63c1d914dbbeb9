// Command jvload is the load and experiment tool: it sends the load of many callers to running
// routers, measures routers, and runs a demo on a fleet that it starts itself.
package main
