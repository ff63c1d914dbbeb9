// Package jvconfig holds the configuration that operators publish: profiles, workspaces,
// pools of targets and drains. Values are immutable; With methods return changed copies.
package jvconfig
