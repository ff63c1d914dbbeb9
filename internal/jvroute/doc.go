// Package jvroute holds the routing configuration in force: routes, workspaces with their keys
// and prepaid totals, pools and limits, as one immutable table.
package jvroute
