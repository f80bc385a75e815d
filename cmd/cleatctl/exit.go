package main

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/role/admin"
)

// Exit codes, documented in usageMain.
const (
	exitOK             = 0
	exitError          = 1
	exitRefused        = 2
	exitForbidden      = 3
	exitNotFound       = 4
	exitNotAccepted    = 5
	exitUnknownOutcome = 6
)

// unknownOutcomeError is the error of a change that may or may not have been
// accepted.
type unknownOutcomeError struct {
	operation string
	cause     error
}

// Error returns a message with the cause and the operation id for resending the
// change.
func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("the change may or may not have been accepted (%s); run the command again with --operation %s", operatorMessage(e.cause), e.operation)
}

// withUnknownOutcome wraps the error of a change in an unknownOutcomeError, unless
// the server answered with an error that leaves no doubt about the outcome.
func withUnknownOutcome(operation string, err error) error {
	var apiErr *admin.Error
	if err == nil || (errors.As(err, &apiErr) && apiErr.Problem.Code != admin.CodeOutcomeUnknown) {
		return err
	}
	return &unknownOutcomeError{operation: operation, cause: err}
}

func exitCode(err error) int {
	var unknown *unknownOutcomeError
	var apiErr *admin.Error
	switch {
	case errors.As(err, &unknown):
		return exitUnknownOutcome
	case errors.As(err, &apiErr):
		return problemExitCode(apiErr)
	case trace.IsConnectionProblem(err):
		return exitNotAccepted
	}
	return exitError
}

func problemExitCode(apiErr *admin.Error) int {
	if apiErr.Status == http.StatusForbidden || apiErr.Status == http.StatusUnauthorized {
		return exitForbidden
	}
	switch apiErr.Problem.Code {
	case admin.CodeRefused:
		return exitRefused
	case admin.CodeNotFound:
		return exitNotFound
	case admin.CodeNotAccepted:
		return exitNotAccepted
	case admin.CodeOutcomeUnknown:
		return exitUnknownOutcome
	}
	return exitError
}

// operatorMessage returns the text of an error for the operator. For a conflicting change
// it includes the current value.
func operatorMessage(err error) string {
	var apiErr *admin.Error
	if !errors.As(err, &apiErr) {
		return trace.UserMessage(err)
	}
	text := apiErr.Problem.Message
	if r := apiErr.Problem.Result; r != nil && r.Conflict != nil {
		text += fmt.Sprintf("; the current value is %s", valueText(r.Conflict.Value))
	}
	return text
}

func valueText(value []byte) string {
	if len(value) == 0 {
		return "absent"
	}
	return string(value)
}
