// Command jvrouter is the router, which runs on every entry VM of the fleet.
package main
