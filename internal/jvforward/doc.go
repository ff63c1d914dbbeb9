// Package jvforward carries attempts between routers over HTTP: a router that does not reach targets lets another one
// make the attempt. The response streams back as it arrives, and the attempt ends when its caller leaves. Both sides
// authenticate a request by the fleet's secret.
package jvforward
