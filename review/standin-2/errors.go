package main

import "errors"

var (
	errNoConfiguration   = errors.New("the first configuration was not acknowledged")
	errNoAcknowledgement = errors.New("the withdrawal was not acknowledged")
	errNothingServed     = errors.New("no stream was served")
)
