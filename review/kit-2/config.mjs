/** What the operator and the engines write to the store. */
export const limits = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

export function createRoute(name, prefix, kind, service, more = {}) {
  return {
    name,
    host: "meals.example",
    prefix,
    route_kind: kind,
    timeout_ms: 1500,
    goal_ms: 190,
    priority: 1,
    service,
    max_attempts: 1,
    public: false,
    sticky: false,
    resumable: false,
    ...more,
  };
}

export function createService(name, more = {}) {
  return { name, health_path: "/healthz", max_conns: 110, protocol: "h1", tls: false, ...more };
}

/** An engine's entry. */
export function createEntry(service, address, more = {}) {
  return {
    service,
    address,
    zone: "north-a",
    version: "v1",
    slots: 64,
    state: "ready",
    cold_left_ms: 0,
    seq_no: 1,
    born: Date.now(),
    ...more,
  };
}
