// Command jvstand runs one stand-in of a system outside the fleet: the platform's log and VM
// list, a model engine, a plain service or a weight store.
package main
