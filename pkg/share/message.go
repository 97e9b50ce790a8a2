package share

import "github.com/cornelline/cornelline/pkg/fleet"

// Ask requests parts of resources from a lender.
type Ask struct {
	Borrower fleet.VMID
	// Address is the borrower's peer address.
	Address  string
	Sequence uint64
	// Forwarded is set when a VM that holds nothing passed the Ask on to a holder.
	Forwarded bool
	Wants     []Want
}

// Want states a borrower's need of one resource.
type Want struct {
	Resource string
	// Demand is what the borrower's callers asked for lately, a second.
	Demand float64
	// Part is what the borrower has without the grants of this lender, a second.
	Part float64
}

// Grant answers an Ask. Each amount replaces the lender's earlier grant of the
// same resource and ends GrantTime after the Ask was sent.
type Grant struct {
	Lender fleet.VMID
	// Address is the lender's peer address.
	Address  string
	Sequence uint64
	Amounts  []Amount
}

// Amount is a granted part of one resource, a second.
type Amount struct {
	Resource string
	Rate     float64
}
