package jvrelay

import (
	"context"
	"time"
)

const (
	// probeInterval is the interval at which targets that refuse connections are probed, if that is due.
	probeInterval = 100 * time.Millisecond
	// maxProbes limits the targets that are probed at a time.
	maxProbes = 32
)

// probeRefusing connects to targets that refuse connections, so that no request has to find out when they are back.
func (r *Relay) probeRefusing() {
	for _, target := range r.targets.TakeProbes(maxProbes) {
		go func() {
			ctx, cancel := r.options.Timer.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			if r.options.Sender.Probe(ctx, target) != ProbeAccepted {
				r.options.Reach.Failed(target.Name) // No request shows any more that the own link may be at fault.
				return
			}
			r.options.Logger.Info("target accepts connections again", "target", target.Name, "address", target.Address)
			r.targets.RecordAccepted(target)
		}()
	}
}
