// Package contract defines the fleet's configuration and how operators change
// it. A Configuration lists the teams with their rate, burst and weight, the API
// keys of the teams, the routes that the teams may use, and the services,
// backend servers and availability zones behind those routes. The whole
// Configuration has one version number.
//
// A Configuration must not be modified once it is built. A VM replaces its
// Configuration as a whole. A request therefore uses one version from start to
// end unless its handler loads a newer Configuration.
package contract
