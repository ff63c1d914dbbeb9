package jvconfig

// Drain takes one target out of service until the item is removed.
type Drain struct {
	Target string `json:"target"`
	// Reason is the operator's explanation.
	Reason string `json:"reason"`
}

// ParseDrain decodes and validates a drain.
func ParseDrain(body []byte) (Drain, error) {
	v, err := Parse[Drain]("read drain", body)
	if err != nil {
		return v, err
	}
	var p Problems
	p.CheckName("target", v.Target)
	return v, p.Err("check drain")
}

// ItemName returns the name that the drain is published under.
func (v Drain) ItemName() string { return v.Target }
