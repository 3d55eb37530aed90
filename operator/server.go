package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/logging"
	"almondstile/settings"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxBodyBytes is above the largest intent that can be stored.
	maxBodyBytes = 1 << 20
	// requestTimeout bounds one request. A confirm may repeat its transaction
	// several times and write a snapshot.
	requestTimeout = 15 * time.Second
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
)

// Planner makes and confirms plans. *configstore.Planner is one.
type Planner interface {
	Plan(ctx context.Context, intent contract.Intent) (contract.Plan, error)
	Get(ctx context.Context, id string) (configstore.StoredPlan, error)
	Confirm(ctx context.Context, planID string) (configstore.Outcome, error)
}

// Fleet reports on this VM and the fleet.
type Fleet interface {
	// Ready says whether this VM takes callers' requests and, if not, why. The
	// balancer asks often, so it must not wait for I/O.
	Ready() (ok bool, reason string)
	// Status may ask other VMs until the context ends.
	Status(ctx context.Context) Status
}

// Server is the operators' listener.
type Server struct {
	app       *fiber.App
	planner   Planner
	fleet     Fleet
	members   Members
	registry  metrics.Registry
	operators []settings.Operator
	log       logging.Logger
}

// NewServer returns a server that is not listening yet.
func NewServer(planner Planner, fleet Fleet, members Members, registry metrics.Registry, operators []settings.Operator, log logging.Logger) *Server {
	s := &Server{planner: planner, fleet: fleet, members: members, registry: registry, operators: operators, log: log}
	s.app = fiber.New(fiber.Config{
		AppName:   "almondstile",
		BodyLimit: maxBodyBytes,
		// Strings of a request are kept in plans, so they must not be reused.
		Immutable:    true,
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
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting connections and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// ReadyBody is the body of /ready.
type ReadyBody struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) ready(c fiber.Ctx) error {
	ok, reason := s.fleet.Ready()
	if !ok {
		c.Status(fiber.StatusServiceUnavailable)
	}
	return c.JSON(ReadyBody{Ready: ok, Reason: reason})
}

func (s *Server) status(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	return c.JSON(s.fleet.Status(ctx))
}

// plan makes a plan of an intent in TOML or, with a JSON content type, JSON.
func (s *Server) plan(c fiber.Ctx) error {
	intent, err := parseIntent(c.Get(fiber.HeaderContentType), bytes.Clone(c.Body()))
	if err != nil {
		return planFailure(err)
	}
	intent.Author = operatorOf(c).Name
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	plan, err := s.planner.Plan(ctx, intent)
	if err != nil {
		s.log.WithError(err).WithField("operator", intent.Author).Info("plan not made")
		return planFailure(err)
	}
	s.log.WithField("operator", intent.Author).WithField("plan", plan.ID).Info("plan made")
	return c.Status(fiber.StatusCreated).JSON(configstore.StoredPlan{Plan: plan, State: configstore.PlanOpen})
}

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

func (s *Server) getPlan(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	stored, err := s.planner.Get(ctx, c.Params("id"))
	if err != nil {
		return planFailure(err)
	}
	return c.JSON(stored)
}

func (s *Server) confirm(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	id := c.Params("id")
	outcome, err := s.planner.Confirm(ctx, id)
	log := s.log.WithField("operator", operatorOf(c).Name).WithField("plan", id)
	if err != nil {
		log.WithError(err).Warn("plan not confirmed")
		return planFailure(err)
	}
	log.WithField("outcome", outcome.Kind).WithField("version", outcome.Version).Info("confirm answered")
	if outcome.Kind != configstore.Accepted {
		return outcomeFailure(outcome)
	}
	return c.JSON(outcome)
}
