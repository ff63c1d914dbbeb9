// Package jvgrant places prepaid budgets on routers through a keyed topic: each router holds
// part of each budget and spends it without asking, also while it is cut off.
package jvgrant
