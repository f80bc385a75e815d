package main

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/role/admin"
)

// The exit codes, as usageMain lists them.
const (
	exitOK          = 0
	exitError       = 1
	exitRefused     = 2
	exitForbidden   = 3
	exitNotFound    = 4
	exitNotAccepted = 5
	exitUnknown     = 6
)

// unknownError is a change whose fate is unknown.
type unknownError struct {
	operation string
	cause     error
}

// Error tells how to find out.
func (e *unknownError) Error() string {
	return fmt.Sprintf("the change may or may not be accepted (%s); run the command again with --operation %s", message(e.cause), e.operation)
}

// unknown marks an error of a change as one of unknown fate, unless the answer
// says otherwise.
func unknown(operation string, err error) error {
	var failed *admin.Error
	if err == nil || (errors.As(err, &failed) && failed.Problem.Code != admin.CodeFateUnknown) {
		return err
	}
	return &unknownError{operation: operation, cause: err}
}

func exitCode(err error) int {
	var lost *unknownError
	var failed *admin.Error
	switch {
	case errors.As(err, &lost):
		return exitUnknown
	case errors.As(err, &failed):
		return problemCode(failed)
	case trace.IsConnectionProblem(err):
		return exitNotAccepted
	}
	return exitError
}

func problemCode(failed *admin.Error) int {
	if failed.Status == http.StatusForbidden || failed.Status == http.StatusUnauthorized {
		return exitForbidden
	}
	switch failed.Problem.Code {
	case admin.CodeRefused:
		return exitRefused
	case admin.CodeNotFound:
		return exitNotFound
	case admin.CodeNotAccepted:
		return exitNotAccepted
	case admin.CodeFateUnknown:
		return exitUnknown
	}
	return exitError
}

// message returns what an operator needs to read of an error.
func message(err error) string {
	var failed *admin.Error
	if !errors.As(err, &failed) {
		return trace.UserMessage(err)
	}
	text := failed.Problem.Message
	if r := failed.Problem.Result; r != nil && r.Conflict != nil {
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
