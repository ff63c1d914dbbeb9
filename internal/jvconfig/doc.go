// Package jvconfig holds the configuration that operators publish: profiles, workspaces,
// pools of targets and drains. Values are immutable; a change makes a new one by a With method.
package jvconfig
