// Package jvrelay is the router's core for requests that are passed on as they came: route and
// workspace, budget, choice of target, attempts and what their failures prove, and the answer.
package jvrelay
