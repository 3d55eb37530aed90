package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"almondstile/settings"

	"github.com/gofiber/fiber/v3"
)

// operatorLocal is the key under which a request's operator is kept.
type operatorLocal struct{}

// authenticate finds the operator of the request's bearer token.
func (s *Server) authenticate(c fiber.Ctx) error {
	scheme, token, _ := strings.Cut(c.Get(fiber.HeaderAuthorization), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return failure(fiber.StatusUnauthorized, CodeUnauthorized, "a bearer token is required")
	}
	operator, ok := s.find(token)
	if !ok {
		return failure(fiber.StatusUnauthorized, CodeUnauthorized, "the token is not known")
	}
	c.Locals(operatorLocal{}, operator)
	return c.Next()
}

// find compares the token's hash with every operator's, in a time that does not
// depend on which one matches.
func (s *Server) find(token string) (settings.Operator, bool) {
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

func operatorOf(c fiber.Ctx) settings.Operator {
	o, _ := c.Locals(operatorLocal{}).(settings.Operator)
	return o
}

// requireOperator lets only the role operator pass.
func requireOperator(c fiber.Ctx) error {
	if operatorOf(c).Role != settings.RoleOperator {
		return failure(fiber.StatusForbidden, CodeForbidden, "only the role operator may confirm plans and discard VMs")
	}
	return c.Next()
}
