package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"time"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/inbound"
	"almondstile/logging"
	"almondstile/memory"
	"almondstile/settings"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxBodyBytes limits the body of a request. It is larger than the largest
	// intent that can be stored.
	maxBodyBytes = 1 << 20
	// requestTimeout limits one request. Confirming a plan may retry its
	// transaction several times and write a snapshot.
	requestTimeout = 15 * time.Second
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	// maxConnections bounds the connections. Beyond it, those without a request and those
	// whose requests do not get on are closed.
	maxConnections = 128
	// readBufferBytes bounds the head of a request.
	readBufferBytes = 8 << 10
)

// Planner makes, reads and confirms plans. *configstore.Planner implements it.
type Planner interface {
	Plan(ctx context.Context, intent contract.Intent) (contract.Plan, error)
	Get(ctx context.Context, id string) (configstore.StoredPlan, error)
	Confirm(ctx context.Context, planID string) (configstore.Outcome, error)
}

// Fleet reports the readiness of this VM and the status of the fleet.
type Fleet interface {
	// Ready reports whether this VM accepts callers' requests and, if not, why.
	// It must not wait for I/O, because the load balancer polls it often.
	Ready() (ok bool, reason string)
	// Status returns the fleet as this VM sees it. It may query other VMs until
	// the context ends.
	Status(ctx context.Context) Status
}

// Server serves the operators' HTTP API.
type Server struct {
	app       *fiber.App
	planner   Planner
	fleet     Fleet
	members   Members
	registry  metrics.Registry
	operators []settings.Operator
	log       logging.Logger
	server    *inbound.Server
}

// NewServer returns a server with all its routes. Serve starts it. The operators
// are those whose tokens it accepts. The budget covers its connections.
func NewServer(planner Planner, fleet Fleet, members Members, registry metrics.Registry, operators []settings.Operator, budget *memory.Budget, log logging.Logger) *Server {
	s := &Server{planner: planner, fleet: fleet, members: members, registry: registry, operators: operators, log: log}
	s.app = fiber.New(fiber.Config{
		AppName:   "almondstile",
		BodyLimit: maxBodyBytes,
		// Plans keep strings of the request, so fiber must not reuse its buffers.
		Immutable: true,
		// The body of a request is read only after its operator is known.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               readBufferBytes,

		ReadTimeout:  readTimeout,
		WriteTimeout: requestTimeout,
		IdleTimeout:  idleTimeout,
		ErrorHandler: s.handleError,
	})
	s.app.Get("/ready", s.ready)
	s.app.Get("/metrics", s.authenticate, s.metricsText)
	s.app.Get("/metrics.json", s.authenticate, s.metricsJSON)
	s.app.Get("/v1/status", s.authenticate, s.status)
	s.app.Post("/v1/plans", s.authenticate, s.plan)
	s.app.Get("/v1/plans/:id", s.authenticate, s.getPlan)
	s.app.Post("/v1/plans/:id/confirm", s.authenticate, requireOperator, s.confirm)
	s.app.Post("/v1/vms/discard", s.authenticate, requireOperator, s.discard)
	s.app.Handler() // completes the routes
	s.server = inbound.NewServer(s.app.Server(), inbound.Options{
		Budget: budget, ConnectionBytes: memory.ConnectionBytes(readBufferBytes), MaxConnections: maxConnections,
	}, log)
	return s
}

// Serve accepts connections on listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.server.Serve(listener), "serving operators' requests")
}

// Shutdown stops accepting connections and waits for requests in flight, at most
// until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "shutting down the server for operators")
}

// readBody reads the body of a request.
func readBody(c fiber.Ctx) ([]byte, error) {
	stream := c.Request().BodyStream()
	if stream == nil {
		return bytes.Clone(c.Body()), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, newAPIError(fiber.StatusBadRequest, CodeBadRequest, "the request did not arrive whole")
	case len(body) > maxBodyBytes:
		return nil, newAPIError(fiber.StatusRequestEntityTooLarge, CodeTooLarge, "the request is larger than the limit")
	}
	return body, nil
}

// ReadyBody is the JSON body of responses to GET /ready. Reason says why the VM
// is not ready.
type ReadyBody struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// ready handles GET /ready. It needs no token, and its status is 503 if this VM is
// not ready.
func (s *Server) ready(c fiber.Ctx) error {
	ok, reason := s.fleet.Ready()
	if !ok {
		c.Status(fiber.StatusServiceUnavailable)
	}
	return c.JSON(ReadyBody{Ready: ok, Reason: reason})
}

// status handles GET /v1/status.
func (s *Server) status(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	return c.JSON(s.fleet.Status(ctx))
}

// plan handles POST /v1/plans. The body is an intent in JSON if the content type
// is JSON, and in TOML otherwise. The intent's author is the request's operator.
func (s *Server) plan(c fiber.Ctx) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	intent, err := parseIntent(c.Get(fiber.HeaderContentType), body)
	if err != nil {
		return planError(err)
	}
	intent.Author = operatorOf(c).Name
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	plan, err := s.planner.Plan(ctx, intent)
	if err != nil {
		s.log.WithError(err).WithField("operator", intent.Author).Info("No plan was made from the operator's intent.")
		return planError(err)
	}
	s.log.WithField("operator", intent.Author).WithField("plan", plan.ID).Info("Made a plan.")
	return c.Status(fiber.StatusCreated).JSON(configstore.StoredPlan{Plan: plan, State: configstore.PlanOpen})
}

// parseIntent decodes an intent. JSON that cannot be decoded gives a
// *contract.DocumentError, as invalid TOML does.
func parseIntent(contentType string, body []byte) (contract.Intent, error) {
	if !strings.HasPrefix(contentType, fiber.MIMEApplicationJSON) {
		return contract.ParseIntent(body)
	}
	var intent contract.Intent
	if err := json.Unmarshal(body, &intent); err != nil {
		return contract.Intent{}, &contract.DocumentError{Faults: []contract.DocumentFault{{Message: err.Error()}}}
	}
	return intent, nil
}

// getPlan handles GET /v1/plans/:id.
func (s *Server) getPlan(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	stored, err := s.planner.Get(ctx, c.Params("id"))
	if err != nil {
		return planError(err)
	}
	return c.JSON(stored)
}

// confirm handles POST /v1/plans/:id/confirm.
func (s *Server) confirm(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	id := c.Params("id")
	outcome, err := s.planner.Confirm(ctx, id)
	log := s.log.WithField("operator", operatorOf(c).Name).WithField("plan", id)
	if err != nil {
		log.WithError(err).Warn("Confirming a plan failed.")
		return planError(err)
	}
	log.WithField("outcome", outcome.Kind).WithField("version", outcome.Version).Info("Confirming a plan ended with an outcome.")
	if outcome.Kind != configstore.Accepted {
		return outcomeError(outcome)
	}
	return c.JSON(outcome)
}
