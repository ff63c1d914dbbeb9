// Command jvctl is the operators' command line: it publishes configuration, tops up budgets,
// drains targets, and shows the state of the fleet's VMs and the reasons for their decisions.
package main
