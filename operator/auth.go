package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"almondstile/settings"

	"github.com/gofiber/fiber/v3"
)

// operatorContextKey is the key under which fiber's context holds the
// settings.Operator that sent the request.
type operatorContextKey struct{}

// authenticate is a handler that stores the operator of the request's bearer
// token in the context. It returns an error with status 401 if the token is
// missing or belongs to no operator.
func (s *Server) authenticate(c fiber.Ctx) error {
	scheme, token, _ := strings.Cut(c.Get(fiber.HeaderAuthorization), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return newAPIError(fiber.StatusUnauthorized, CodeUnauthorized, "a bearer token is required")
	}
	operator, ok := s.findOperator(token)
	if !ok {
		return newAPIError(fiber.StatusUnauthorized, CodeUnauthorized, "the token is not known")
	}
	c.Locals(operatorContextKey{}, operator)
	return c.Next()
}

// findOperator returns the operator whose token has the same SHA-256 hash. It
// always compares all operators, each in constant time, so that the response
// time does not reveal which one matches.
func (s *Server) findOperator(token string) (settings.Operator, bool) {
	sum := sha256.Sum256([]byte(token))
	presented := []byte(hex.EncodeToString(sum[:]))
	var found settings.Operator
	ok := false
	for _, o := range s.operators {
		if subtle.ConstantTimeCompare(presented, []byte(o.TokenSHA256)) == 1 {
			found, ok = o, true
		}
	}
	return found, ok
}

// operatorOf returns the operator that authenticate stored in the context, or
// the zero value.
func operatorOf(c fiber.Ctx) settings.Operator {
	o, _ := c.Locals(operatorContextKey{}).(settings.Operator)
	return o
}

// requireOperator is a handler that returns an error with status 403 unless the
// request's operator has settings.RoleOperator.
func requireOperator(c fiber.Ctx) error {
	if operatorOf(c).Role != settings.RoleOperator {
		return newAPIError(fiber.StatusForbidden, CodeForbidden, "only the role operator may confirm plans and discard VMs")
	}
	return c.Next()
}
