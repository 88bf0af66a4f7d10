// A configuration and entries of engines, as PROTOCOL.md tells them.

export const limits = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 5_000,
  idle_timeout_ms: 10_000,
};

export function route(name, kind, service, more = {}) {
  return {
    name,
    host: "app.example",
    prefix: `/${name}/`,
    route_kind: kind,
    timeout_ms: 1500,
    goal_ms: 193,
    priority: 2,
    service,
    max_attempts: 2,
    public: false,
    ...more,
  };
}

export function service(name, more = {}) {
  return { name, max_conns: 110, health_path: "/healthz", ...more };
}

export function config(version, route_list, services, keys = ["key-1"]) {
  const tenants = [{ name: "tenant-1", api_keys: keys }];
  return { version, route_list, services, tenants, limits };
}

export function entry(service, address, more = {}) {
  return {
    service,
    address,
    zone: "zone-a",
    version: "v1",
    slots: 6,
    state: "ready",
    cold_left_ms: 0,
    seq_no: 1,
    born: 1_700_000_000_000,
    ...more,
  };
}
